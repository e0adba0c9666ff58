package soak

import (
	"syscall"
	"time"
)

// injectFaults injects overlapping faults for faultDuration and waits until the
// last one has ended.
func (r *rig) injectFaults() {
	end := time.Now().Add(*faultDuration)
	sleep(r.ctx, 500*time.Millisecond)
	if r.size.crashes {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			r.injectRunnerFaults(end)
		}()
	}
	for start := time.Now(); time.Now().Before(end); {
		if r.size.crashes && time.Since(start)%faultCycle > faultPeriod {
			sleep(r.ctx, 50*time.Millisecond)
			continue
		}
		f := r.nextFault()
		r.ledger.addActiveFaults(1)
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			f()
			r.ledger.addActiveFaults(-1)
		}()
		sleep(r.ctx, time.Duration(100+r.rand.IntN(900))*time.Millisecond)
	}
	r.wg.Wait()
}

// nextFault returns a random fault as a function that runs it. All random numbers
// are drawn before the fault runs, so that a seed determines the schedule.
func (r *rig) nextFault() func() {
	d := r.daemons[r.rand.IntN(len(r.daemons))]
	i := r.rand.IntN(len(r.runners))
	runnerProxy := r.runnerProxies[i]
	duration := time.Duration(200+r.rand.IntN(3500)) * time.Millisecond
	m := mode(1 + r.rand.IntN(4))
	during := func(on, off func()) func() {
		return func() {
			on()
			sleep(r.ctx, duration)
			off()
		}
	}
	restart := func(s syscall.Signal) func() {
		return func() {
			if err := d.restart(s, duration/4); err != nil {
				r.t.Errorf("restart: %v", err)
			}
		}
	}
	switch r.rand.IntN(13) {
	case 0, 1:
		return restart(syscall.SIGKILL)
	case 2:
		return restart(syscall.SIGTERM)
	case 3, 4:
		return during(func() { d.signal(syscall.SIGSTOP) }, func() { d.signal(syscall.SIGCONT) })
	case 5:
		return during(func() {
			if d.loaded() {
				d.signal(syscall.SIGHUP)
			}
		}, func() {})
	case 6:
		return during(func() { d.storeProxy.set(m) }, func() { d.storeProxy.set(pass) })
	case 7:
		return during(func() { runnerProxy.set(m) }, func() { runnerProxy.set(pass) })
	case 8:
		return during(func() {
			r.runners[i].crash(false)
			runnerProxy.reset() // data in transit is lost with the process
		}, func() { r.recoverRunner(i) })
	case 9:
		return during(func() { r.store.Busy.Store(true) }, func() { r.store.Busy.Store(false) })
	case 10:
		return during(func() { r.store.Delay.Store(int64(300 * time.Millisecond)) }, func() { r.store.Delay.Store(0) })
	case 11:
		return during(func() { r.store.LoseResponses.Store(true) }, func() { r.store.LoseResponses.Store(false) })
	}
	return during(func() {
		r.store.Compact()
		r.store.RevokeLeases()
		r.configure()
	}, func() {})
}
