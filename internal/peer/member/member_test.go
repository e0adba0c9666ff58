package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

func none(message.Daemon) bool { return false }

// TestTargets guards the number of links: both ends of a link must choose it,
// each daemon must have a link to each zone, and no daemon may have more links
// than the sizes of the zones require, which is one per zone at the target
// size.
func TestTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []message.Daemon
		sizes := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 9).Draw(t, "sizes")
		for z, n := range sizes {
			for i := range n {
				all = append(all, message.Daemon{Name: fmt.Sprintf("d%d-%d", z, i), Zone: fmt.Sprint(z)})
			}
		}
		targets := make(map[string][]message.Daemon)
		for _, d := range all {
			targets[d.Name] = LinkTargets(d, all, none)
		}
		for _, d := range all {
			links := make(map[string]int)
			for _, o := range targets[d.Name] {
				links[o.Zone]++
				if !slices.Contains(targets[o.Name], d) {
					t.Fatalf("%s links to %s, but not the reverse", d.Name, o.Name)
				}
			}
			own := sizes[d.Zone[0]-'0']
			for z, n := range sizes {
				got, most := links[fmt.Sprint(z)], (n+own-1)/own
				if fmt.Sprint(z) == d.Zone {
					if got != n-1 {
						t.Fatalf("%s has %d links in its zone of %d daemons", d.Name, got, n)
					}
				} else if got < 1 || got > most {
					t.Fatalf("%s has %d links to zone %d, want 1 to %d", d.Name, got, z, most)
				}
			}
		}
	})
}

// TestTargetsFailing guards against a zone that becomes unreachable while the
// daemon that the matching chose is down.
func TestTargetsFailing(t *testing.T) {
	self := message.Daemon{Name: "s", Zone: "a"}
	all := []message.Daemon{{Name: "x", Zone: "b"}, {Name: "y", Zone: "b"}}
	down := func(d message.Daemon) bool { return d.Name == "x" }
	if got := LinkTargets(self, all, down); !slices.Contains(got, all[1]) {
		t.Errorf("got targets %v, want the reachable daemon among them", got)
	}
}

// TestSet guards against an older incarnation, or one that announced its stop,
// that becomes present again by a late mention, and against daemons that are
// never removed although no peer mentions them.
func TestSet(t *testing.T) {
	at := time.Unix(1700000000, 0)
	d := func(inc string) message.Daemon {
		return message.Daemon{Name: "d", Incarnation: inc, PeerAddr: netip.MustParseAddrPort("10.0.0.1:1")}
	}
	s := make(Set)
	for _, bad := range []message.Daemon{{}, {Name: "d", Incarnation: "d.1"}, d("e.1")} {
		if s.Observe(bad, at) {
			t.Errorf("invalid daemon was added: %+v", bad)
		}
	}
	s.Observe(d("d.z"), at)
	if s.Observe(d("d.y"), at) || s.Incarnation("d.y") != nil || s.Incarnation("d.z") == nil {
		t.Error("older incarnation replaced a newer one")
	}
	s["d"].ShutDown = true
	s.Observe(d("d.z"), at)
	if len(s.Present()) != 0 {
		t.Error("stopped incarnation is present")
	}
	if !s.Observe(d("d.10"), at) || len(s.Present()) != 1 {
		t.Error("newer incarnation was not added") // 10 in base 36 is above z
	}
	s.Expire(at.Add(2 * time.Hour))
	if len(s) != 0 {
		t.Error("daemon without a mention for two hours was not removed")
	}
}
