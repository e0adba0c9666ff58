package lead

import (
	"context"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

const (
	// pollInterval is the minimum pause after a successful poll, so that one
	// poll returns several results.
	pollInterval = 30 * time.Millisecond
	// pollIntervalPerRunner times the number of polled runners is the pause
	// between polls if it exceeds pollInterval, so that polling many runners
	// leaves the leader processor time for its other work. It applies to a
	// reference host; a slower one pauses longer.
	pollIntervalPerRunner = 400 * time.Microsecond
	// idleFactor is the pause between two polls of an idle runner in multiples of
	// that of a busy one. A start ends the pause.
	idleFactor = 6
	// maxIdleInterval limits it: the runner's lease and the record of its clock
	// must stay recent.
	maxIdleInterval = 2 * time.Second
	// pollRetryDelay follows a failed poll.
	pollRetryDelay = 200 * time.Millisecond
)

// wakePoller ends the pause of an idle runner's poller, because a run is started
// there.
func (t *term) wakePoller(id runner.ID) {
	t.mu.Lock()
	wakeup := t.pollers[id]
	t.mu.Unlock()
	select {
	case wakeup <- struct{}{}:
	default: // also if there is no poller
	}
}

// poll polls one runner until the state no longer tracks it.
func (t *term) poll(ctx context.Context, id runner.ID, wakeup <-chan struct{}) {
	for ctx.Err() == nil {
		now, until, ok := t.lockForSending(ctx, RenewDeadline)
		if !ok {
			return
		}
		interval := max(pollInterval, t.cfg.pollPause(len(t.pollers)))
		if t.state.Isolated(id) {
			interval = pollInterval
		}
		idle := t.state.Idle(id)
		req, ok := t.state.Poll(id, now)
		if !ok {
			delete(t.pollers, id)
			t.pollerCount.Store(int64(len(t.pollers)))
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		sent := clock.Now()
		rep, reply, err := t.cfg.Runners.Poll(runner.WithSendDeadline(ctx, until), req.To, t.id, req.PollRequest)
		if ctx.Err() != nil {
			return
		}
		t.mu.Lock()
		now = clock.Now()
		switch {
		case err != nil || (rep == nil && !t.handleRejection(req.To, reply, sent, now)):
			t.state.PollFailed(id, now)
		case rep != nil:
			if t.state.HandleReport(req.To, sent, now, rep) {
				t.notify()
			}
		}
		t.mu.Unlock()
		switch {
		case rep == nil:
			clock.Sleep(ctx, pollRetryDelay)
		case idle && len(rep.Running) == 0:
			pause(ctx, min(idleFactor*interval, maxIdleInterval), wakeup)
		default:
			clock.Sleep(ctx, interval)
		}
	}
}

// pollPause returns the pause between two polls of one of n runners that leaves
// this host processor time for its other work.
func (c *Config) pollPause(n int) time.Duration {
	p := time.Duration(n) * pollIntervalPerRunner
	if c.RelativeCores > 0 {
		p = time.Duration(float64(p) / c.RelativeCores)
	}
	return p
}

// pause waits for d, for a wakeup or for the end of the context.
func pause(ctx context.Context, d time.Duration, wakeup <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wakeup:
	case <-ctx.Done():
	}
}
