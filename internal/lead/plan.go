package lead

import (
	"context"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// minPlanDelay is the minimum pause after a planning pass, so that one pass
	// handles the reports of several runners.
	minPlanDelay = 4 * time.Millisecond
	// planDelayPerRunner times the number of runners is that pause if it is
	// longer. With many runners a few milliseconds more let one pass, and the
	// messages that follow from it, handle many more reports.
	planDelayPerRunner = 10 * time.Microsecond
	// planInterval bounds the time that the planner waits for a wakeup.
	planInterval = 100 * time.Millisecond
	// planDelayFactor is the pause after a planning pass in multiples of the
	// pass's duration.
	planDelayFactor = 3
)

// plan runs the planner and sends its commands until the term ends.
func (t *term) plan(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var cfg *job.Config
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wakeup:
		}
		started := clock.Now()
		t.mu.Lock()
		if c := t.cfg.CurrentConfig(); c != cfg && c != nil {
			cfg = c
			t.state.Configure(c)
			t.reviewEntries(ctx)
		}
		t.state.Plan(clock.Now(), time.Now())
		commands := t.state.Commands()
		queries := t.state.PolicyQueries()
		isolated := t.state.NewlyIsolated()
		t.mu.Unlock()
		took := clock.Now().Sub(started)
		for _, q := range queries {
			t.enqueue(q)
		}
		for _, id := range isolated {
			t.wakePoller(id)
		}
		t.send(ctx, commands)
		clock.Sleep(ctx, max(minPlanDelay, planDelayFactor*took, time.Duration(t.pollerCount.Load())*planDelayPerRunner))
	}
}
