package manager_test

import (
	"flag"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

// run creates a zone of six workers and two daemons, waits until two runners of
// web and four of rest serve, calls f and stops the daemons.
func run(t *testing.T, f func(w *world, d1, d2 *daemon)) { runAged(t, 0, f) }

func runAged(t *testing.T, age time.Duration, f func(w *world, d1, d2 *daemon)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for _, name := range []string{"h1", "h2", "h3", "h4", "h5", "h6"} {
			w.addHost(name, "r"+name, time.Now().Add(-age))
		}
		w.edit(1, fleetText(2, 4))
		d1, d2 := w.start("d1", "a"), w.start("d2", "a")
		time.Sleep(30 * time.Second)
		w.expect("web", 2)
		w.expect("rest", 4)
		f(w, d1, d2)
		for len(w.daemons) > 0 { // only this goroutine changes the list
			w.daemons[0].crash()
		}
		time.Sleep(3 * time.Minute) // until the reboot timers have fired
	})
}

func (w *world) expect(pool string, serving int) {
	w.t.Helper()
	if n := w.count(pool, fleet.Serving); n != serving {
		w.t.Errorf("pool %s serves on %d hosts, want %d: %v", pool, n, serving, w.current().Hosts)
	}
}

// waits returns the daemons that drains wait for, as reported by the manager.
func (w *world) waits() string {
	var all []string
	for _, d := range w.daemons {
		if s := d.Status(); s.IsManager {
			for _, x := range s.Waits {
				all = append(all, x.Daemon+" "+x.Reason)
			}
		}
	}
	return strings.Join(all, ", ")
}

// TestAdoption guards against workers that are not added to the map in a new zone
// or when they appear later, and against a lost host that is not replaced.
func TestAdoption(t *testing.T) {
	run(t, func(w *world, _, _ *daemon) {
		w.addHost("h7", "rh7", time.Now())
		w.change(func() {
			for _, x := range w.tasks {
				if x.Service == "web" {
					w.hosts[x.Host].State = etcd.Gone
					x.State = "failed"
					break
				}
			}
		})
		time.Sleep(time.Minute)
		w.expect("web", 2)
		w.expect("rest", 4)
	})
}

// TestEditMidMove guards against a move that continues according to an earlier
// text after an edit. Responses of map writes are lost at each edit and before
// the drain ends.
func TestEditMidMove(t *testing.T) {
	run(t, func(w *world, _, d2 *daemon) {
		w.change(func() {
			d2.outstanding = 1 // blocks the move
			w.lostReplies = 1
		})
		w.edit(2, fleetText(4, 2))
		time.Sleep(10 * time.Second)
		w.expect("web", 2)
		if s := w.waits(); !strings.Contains(s, "d2.a 1 requests outstanding") {
			t.Errorf("drains wait for %q, want d2", s)
		}
		w.change(func() { w.lostReplies = 1 })
		w.edit(3, fleetText(3, 3))
		time.Sleep(10 * time.Second)
		w.change(func() { d2.outstanding, w.lostReplies = 0, 1 })
		time.Sleep(time.Minute)
		w.expect("web", 3)
		w.expect("rest", 3)
	})
}

// TestPartitionedDaemon guards against a move that does not wait for a
// partitioned daemon, which may still route by an older map although its
// registration has expired, and against a move that still waits after it is
// proven that the daemon has ended.
func TestPartitionedDaemon(t *testing.T) {
	for name, end := range map[string]func(*world, *daemon){
		"wakes":     func(w *world, d *daemon) { w.change(func() { d.partitioned = false }) },
		"restarted": func(w *world, d *daemon) { d.crash(); w.start("d3", "b") },
		"entry host gone": func(w *world, d *daemon) {
			d.crash()
			w.change(func() {
				w.hosts["d3"] = &etcd.Host{Name: "d3", Zone: "a", Role: "entry", State: etcd.Gone}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *world, _, _ *daemon) {
				d3 := w.start("d3", "a")
				time.Sleep(15 * time.Second)
				w.change(func() {
					d3.partitioned = true
					delete(w.keys, "/gt/daemon/a/d3.a")
				})
				w.edit(2, fleetText(3, 3))
				time.Sleep(10 * time.Minute)
				w.expect("web", 2)
				if s := w.waits(); !strings.Contains(s, "d3.a confirmed version") || strings.Contains(s, "d1") {
					t.Errorf("drains wait for %q, want d3 only", s)
				}
				end(w, d3)
				time.Sleep(time.Minute)
				w.expect("web", 3)
				w.expect("rest", 3)
			})
		})
	}
}

// TestFrozenManager guards against a manager that was paused in one of its calls
// and acts on its outdated map when it resumes.
func TestFrozenManager(t *testing.T) {
	for calls := 0; calls < 40; calls += 2 {
		run(t, func(w *world, d1, d2 *daemon) {
			old := d1
			if d2.Status().IsManager {
				old = d2
			}
			w.change(func() { old.frozen, old.callsUntilFrozen = make(chan struct{}), calls })
			w.edit(2, fleetText(4, 2))
			time.Sleep(30 * time.Second)
			w.edit(3, fleetText(2, 4))
			time.Sleep(30 * time.Second)
			if w.current().Writer == old.Incarnation {
				t.Errorf("paused after %d calls: no daemon took over", calls)
			}
			before, started := make(map[string]string), 0
			w.change(func() {
				for id, x := range w.tasks {
					before[id] = x.State
				}
				started = w.starts
				old.thaw()
			})
			time.Sleep(time.Minute)
			w.change(func() {
				for id, state := range before {
					if now := w.tasks[id].State; now != state {
						t.Errorf("paused after %d calls: task %s was %s, is %s after resume", calls, id, state, now)
					}
				}
				if w.starts != started {
					t.Errorf("paused after %d calls: %d tasks started after resume, want 0", calls, w.starts-started)
				}
			})
			w.expect("web", 2)
			w.expect("rest", 4)
		})
	}
}

// TestFailingWorkers guards against a manager that stops working because of
// starts that do not succeed: one worker fails all starts, on another one no start
// completes, and all running tasks fail.
func TestFailingWorkers(t *testing.T) {
	run(t, func(w *world, _, _ *daemon) {
		w.change(func() {
			w.failing["h7"], w.hanging["h8"] = true, true
			for _, x := range w.tasks {
				x.State = "failed"
			}
		})
		w.addHost("h7", "rh7", time.Now())
		w.addHost("h8", "rh8", time.Now())
		w.edit(2, fleetText(3, 5))
		time.Sleep(20 * time.Minute)
		w.expect("web", 3)
		m := w.current()
		if h := m.Host("h7"); h.State != fleet.Failed && h.State != fleet.Maintenance {
			t.Errorf("worker that fails all starts is not quarantined: %v", *h)
		}
	})
}

// TestMaintenance guards against hosts that are rebooted while a runner runs, more
// than once, or never.
func TestMaintenance(t *testing.T) {
	due := 336 * time.Hour / 8 * 7
	runAged(t, due-time.Minute, func(w *world, _, _ *daemon) {
		time.Sleep(time.Hour)
		w.change(func() {
			if w.reboots != 6 {
				t.Errorf("%d reboots of 6 hosts, want 6", w.reboots)
			}
		})
		w.expect("web", 2)
		w.expect("rest", 4)
	})
}

var seeds = flag.Uint64("seeds", 10, "runs of TestRandomFaults")

// TestRandomFaults guards against combinations of faults that stop the manager or
// violate the invariants that the world checks.
func TestRandomFaults(t *testing.T) {
	for seed := range *seeds {
		r := rand.New(rand.NewPCG(seed, 2))
		run(t, func(w *world, d1, d2 *daemon) {
			version := uint64(1)
			for range 20 {
				if kind := r.IntN(8); kind == 0 {
					version++
					w.edit(version, fleetText(1+int(version)%4, 5-int(version)%4))
				} else {
					w.change(func() { w.fault(kind, d1, d2) })
				}
				time.Sleep(time.Duration(r.IntN(7000)) * time.Millisecond)
			}
			w.change(func() {
				d1.thaw()
				d2.thaw()
				d1.partitioned, d2.partitioned = false, false
			})
			w.edit(version+1, fleetText(3, 3))
			time.Sleep(5 * time.Minute)
			w.expect("web", 3)
			w.expect("rest", 3)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func (d *daemon) thaw() {
	if d.frozen != nil {
		close(d.frozen)
		d.frozen = nil
	}
}

// fault injects one fault; the world is locked.
func (w *world) fault(kind int, d1, d2 *daemon) {
	switch kind {
	case 1:
		w.lostReplies++
	case 2:
		d1.freeze()
	case 3:
		d1.thaw()
	case 4:
		d2.partitioned = !d2.partitioned
	case 5:
		d2.freeze()
	case 6:
		d2.thaw()
	default:
		for _, x := range w.tasks {
			x.Deadline = time.Now()
		}
	}
}

func (d *daemon) freeze() {
	d.thaw()
	d.frozen = make(chan struct{})
}
