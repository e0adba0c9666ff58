package lead

import (
	"context"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// policyQueueSize bounds the policy queries that wait for the policy service,
// which accepts one query at a time from each daemon.
const policyQueueSize = 256

// enqueue queues a policy query, or handles it as unanswered if the queue is
// full.
func (t *term) enqueue(q sched.PolicyQuery) {
	select {
	case t.policyQueries <- q:
	default:
		t.handlePolicyReply(&q, nil, 0, clock.Now())
	}
}

// runPolicyQueries sends the queued queries to the policy service, one at a
// time.
func (t *term) runPolicyQueries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-t.policyQueries:
			t.queryPolicy(ctx, &q)
		}
	}
}

func (t *term) queryPolicy(ctx context.Context, q *sched.PolicyQuery) {
	sent := clock.Now()
	if t.cfg.Policy == nil {
		t.logger.Log("msg", "policy service not configured", "step", q.Step)
		t.handlePolicyReply(q, nil, 0, sent)
		return
	}
	allowed, valid, err := t.cfg.Policy.AllowedRunners(ctx, q.Step, q.Runners)
	if err != nil {
		t.logger.Log("msg", "policy query failed", "step", q.Step, "err", err)
	}
	t.handlePolicyReply(q, allowed, valid, sent)
}

func (t *term) handlePolicyReply(q *sched.PolicyQuery, allowed []sched.AllowedRunner, valid time.Duration, sent clock.BootTime) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.HandlePolicyReply(q, allowed, valid, sent, clock.Now())
	t.notify()
}
