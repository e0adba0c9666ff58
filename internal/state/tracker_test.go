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

// TestNeverReverts guards that no order of offers, from a restored platform or
// from peers that were cut off, takes a text or a map back.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k state.Tracker
		plan, zoneMap := uint64(0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			version := rapid.Uint64Range(0, 9).Draw(t, "version")
			if rapid.Bool().Draw(t, "plan") {
				if _, err := k.UpdatePlan(version, []byte(source)); err != nil {
					t.Fatal(err)
				}
				plan = max(plan, version)
			} else {
				k.UpdateMap(&fleet.Map{Zone: "waco", Version: version})
				zoneMap = max(zoneMap, version)
			}
			v := k.View()
			if v.Plan != plan {
				t.Fatalf("text %d is in force, %d was offered", v.Plan, plan)
			}
			if m := v.Maps["waco"]; m != nil && m.Version != zoneMap {
				t.Fatalf("map %d is in force, %d was offered", m.Version, zoneMap)
			}
		}
	})
}

// TestBadTextKeepsTheOld guards that a text that does not parse, stored by
// something else than apply, takes nothing out of force.
func TestBadTextKeepsTheOld(t *testing.T) {
	var k state.Tracker
	if _, err := k.UpdatePlan(1, []byte(source)); err != nil {
		t.Fatal(err)
	}
	if _, err := k.UpdatePlan(2, []byte("zones = 3")); err == nil || k.View().Plan != 1 {
		t.Errorf("got error %v and version %d in force, want an error and 1", err, k.View().Plan)
	}
}

// TestLeavingEndsWithNewRunner guards that a host that comes back with a new
// runner takes work again, and not before.
func TestLeavingEndsWithNewRunner(t *testing.T) {
	var k state.Tracker
	host := fleet.Host{Name: "w1", State: fleet.Serving, Since: now.Add(-time.Minute)}
	k.UpdateMap(&fleet.Map{Zone: "waco", Version: 1, Hosts: []fleet.Host{host}})
	k.MarkLeaving("w1", now)
	k.UpdateMap(&fleet.Map{Zone: "waco", Version: 2, Hosts: []fleet.Host{host}})
	if len(k.View().Leaving) != 1 {
		t.Error("a map with the old runner ended the mark")
	}
	if !k.ClearLeaving("w1") || k.ClearLeaving("w1") || len(k.View().Leaving) != 0 {
		t.Error("the mark was not cleared once")
	}
	k.MarkLeaving("w1", now)
	host.Since = now.Add(time.Minute)
	k.UpdateMap(&fleet.Map{Zone: "waco", Version: 3, Hosts: []fleet.Host{host}})
	if len(k.View().Leaving) != 0 {
		t.Error("the new runner takes no work")
	}
}

func ExampleTracker() {
	var k state.Tracker
	_, _ = k.UpdatePlan(42, []byte(source))
	taken, _ := k.UpdatePlan(41, []byte(source)) // a platform with an older state
	fmt.Println(taken, k.View().Plan)
	// Output: false 42
}
