package sched

import (
	"testing"
	"time"
)

// TestTwoWavesForOneMachine guards against two waves that replace each other's intents
// for the same machines: no command was sent, the machines stayed cordoned, and no job of
// the pool was started any more. Seen as review/6 (LOST).
func TestTwoWavesForOneMachine(t *testing.T) {
	for name, c := range map[string]struct {
		caps     [2]int
		takeover time.Duration // a new leader follows the first commands
	}{
		"all at once": {caps: [2]int{6, 6}}, "one by one": {caps: [2]int{1, 6}}, "new leader": {[2]int{6, 6}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 6)
			f.s.Limits.MachineTakeover = c.takeover
			f.run(time.Second)
			f.wave(1, c.caps[0], 10*time.Second, f.machines...)
			f.wave(2, c.caps[1], 10*time.Second, f.machines...)
			if c.takeover > 0 {
				for end := f.now + 8*second; f.now < end && f.upkeeps(1) == 0; {
					f.pass()
				}
				f.changeLeader()
			}
			if d := f.run(40 * time.Second); d > 8*time.Second {
				t.Errorf("no batch task was started for %v", d)
			}
			for wave := 1; wave <= 2; wave++ {
				if n := f.upkeeps(wave); n != 6 || !f.s.waves[wave].completed {
					t.Errorf("%d machines had the maintenance of wave %d, completed: %t", n, wave, f.s.waves[wave].completed)
				}
			}
			for _, x := range f.faults {
				t.Error(x)
			}
		})
	}
}
