package lead

import (
	"context"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// listInterval is the time between two listings of the machines. Runners report
	// moves; only the list shows machines that are powered off.
	listInterval = 2 * time.Second
	// previousListInterval applies while runners of previous terms may still have
	// runs.
	previousListInterval = time.Second
	// minListInterval applies if such a runner has ended by the last list, or if that
	// failed.
	minListInterval = 200 * time.Millisecond
)

// listMachines lists the machines repeatedly and applies the result.
func (t *term) listMachines(ctx context.Context) {
	if t.cfg.Machines == nil {
		return
	}
	for ctx.Err() == nil {
		sent := clock.Now()
		ms, err := t.cfg.Machines.List(ctx)
		now := clock.Now()
		if err != nil {
			if ctx.Err() == nil {
				t.logger.Log("msg", "machine listing failed", "err", err)
			}
		} else {
			t.mu.Lock()
			t.state.SetMachines(ms, now)
			t.state.RunnersListed(ms, sent, now)
			t.reviewEntries(ctx)
			t.mu.Unlock()
			t.notify()
		}
		for ctx.Err() == nil {
			d := t.nextList(now, err != nil).Sub(clock.Now())
			if d <= 0 {
				break
			}
			pause(ctx, d, t.listWakeup)
		}
	}
}

// nextList returns when to list the machines after a list that ended at a time.
func (t *term) nextList(last clock.BootTime, failed bool) clock.BootTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	interval := listInterval
	if t.state.WaitsForPrevious() {
		interval = previousListInterval
	}
	due, ok := t.state.NextList()
	if failed && (ok || t.state.WaitsForPrevious()) {
		return last.Add(minListInterval)
	}
	if !ok || due > last.Add(listInterval) {
		return last.Add(interval)
	}
	return max(due, last.Add(minListInterval)) // not delayed by a list just before it
}

// wakeLister lets the goroutine that lists the machines look again when the next list
// is due: what it waits for has changed.
func (t *term) wakeLister() {
	select {
	case t.listWakeup <- struct{}{}:
	default:
	}
}
