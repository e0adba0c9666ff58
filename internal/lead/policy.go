package lead

import (
	"context"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// questionQueue bounds the questions that wait for the policy service, which
// takes one at a time of each daemon.
const questionQueue = 256

// enqueue passes a question on, or answers it at once if there are too many.
func (x *term) enqueue(q sched.PolicyQuery) {
	select {
	case x.questions <- q:
	default:
		x.permitted(&q, nil, 0, clock.Now())
	}
}

// ask asks the policy service, one question after the other.
func (x *term) ask(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-x.questions:
			x.askOne(ctx, &q)
		}
	}
}

func (x *term) askOne(ctx context.Context, q *sched.PolicyQuery) {
	sent := clock.Now()
	if x.cfg.Policy == nil {
		x.logger.Log("msg", "there is no policy service to ask", "step", q.Step)
		x.permitted(q, nil, 0, sent)
		return
	}
	allowed, valid, err := x.cfg.Policy.AllowedRunners(ctx, q.Step, q.Runners)
	if err != nil {
		x.logger.Log("msg", "policy has no answer", "step", q.Step, "err", err)
	}
	x.permitted(q, allowed, valid, sent)
}

func (x *term) permitted(q *sched.PolicyQuery, allowed []sched.AllowedRunner, valid time.Duration, sent clock.BootTime) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.HandlePolicyReply(q, allowed, valid, sent, clock.Now())
	x.wake()
}
