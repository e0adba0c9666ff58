package state_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

const source = "zones = [\"waco\"]\nweigh = \"buffer\"\n[[service]]\nname = \"desk\"\nspare = true\nrunners = 2\n"

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// TestNeverReverts guards against a text or map that is replaced by an older one.
// Updates arrive in any order from a restored platform or from peers that were
// partitioned.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker state.Tracker
		plan, zoneMap := uint64(0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := rapid.Uint64Range(0, 9).Draw(t, "version")
			if rapid.Bool().Draw(t, "plan") {
				if _, err := tracker.UpdatePlan(version, []byte(source)); err != nil {
					t.Fatal(err)
				}
				plan = max(plan, version)
			} else {
				tracker.UpdateMap(&fleet.Map{Zone: "waco", Version: version})
				zoneMap = max(zoneMap, version)
			}
			v := tracker.View()
			if v.PlanVersion != plan {
				t.Fatalf("text version %d is active, want the newest update %d", v.PlanVersion, plan)
			}
			if m := v.Maps["waco"]; m != nil && m.Version != zoneMap {
				t.Fatalf("map version %d is active, want the newest update %d", m.Version, zoneMap)
			}
		}
	})
}

// TestBadTextKeepsTheOld guards against a text that does not parse and replaces the
// active one. Such a text can be stored by a tool other than the apply command.
func TestBadTextKeepsTheOld(t *testing.T) {
	var tracker state.Tracker
	if _, err := tracker.UpdatePlan(1, []byte(source)); err != nil {
		t.Fatal(err)
	}
	if _, err := tracker.UpdatePlan(2, []byte("zones = 3")); err == nil || tracker.View().PlanVersion != 1 {
		t.Errorf("got error %v and active version %d, want an error and version 1", err, tracker.View().PlanVersion)
	}
}

// TestLeavingEndsWithNewRunner guards against a host that gets no work after it
// started a new runner, or gets work before.
func TestLeavingEndsWithNewRunner(t *testing.T) {
	var tracker state.Tracker
	host := fleet.Host{Name: "w1", State: fleet.Serving, Since: now.Add(-time.Minute)}
	tracker.UpdateMap(&fleet.Map{Zone: "waco", Version: 1, Hosts: []fleet.Host{host}})
	tracker.MarkLeaving("w1", now)
	tracker.UpdateMap(&fleet.Map{Zone: "waco", Version: 2, Hosts: []fleet.Host{host}})
	if len(tracker.View().Leaving) != 1 {
		t.Error("leaving mark removed by a map with the old runner")
	}
	if !tracker.ClearLeaving("w1") || tracker.ClearLeaving("w1") || len(tracker.View().Leaving) != 0 {
		t.Error("ClearLeaving did not remove the mark exactly once")
	}
	tracker.MarkLeaving("w1", now)
	host.Since = now.Add(time.Minute)
	tracker.UpdateMap(&fleet.Map{Zone: "waco", Version: 3, Hosts: []fleet.Host{host}})
	if len(tracker.View().Leaving) != 0 {
		t.Error("leaving mark not removed by a map with a new runner")
	}
}

func ExampleTracker() {
	var tracker state.Tracker
	_, _ = tracker.UpdatePlan(42, []byte(source))
	updated, _ := tracker.UpdatePlan(41, []byte(source)) // a platform with an older state
	fmt.Println(updated, tracker.View().PlanVersion)
	// Output: false 42
}
