package lead

import (
	"context"
	"testing"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// TestEndTermWhileCampaigning guards against a process that says that a term has ended
// which it may yet begin, as it was paused between its campaign and the reply of the
// store, and against a late request that ends the next term of the same process.
func TestEndTermWhileCampaigning(t *testing.T) {
	for _, c := range []struct {
		name          string
		contending    bool
		running       runner.Term // zero: none
		ended, goesOn bool
	}{
		{name: "follower", ended: true},
		{name: "campaign without a reply", contending: true},
		{name: "the term goes on", contending: true, running: 7},
		{name: "an earlier term goes on", contending: true, running: 6},
		{name: "a later term goes on", contending: true, running: 8, ended: true, goesOn: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(Config{Self: Holder{Name: "d1", Incarnation: "1"}, Store: &store.Store{}, Logger: log.NewNopLogger(), CurrentConfig: func() *job.Config { return nil }})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			l.contending.Store(c.contending)
			if c.running != 0 {
				l.running.Store(&term{id: c.running, end: cancel})
			}
			if s := l.EndTerm(7); s != (TermState{Name: "d1", Incarnation: "1", Ended: c.ended}) {
				t.Errorf("state %+v, want ended %t", s, c.ended)
			}
			if goesOn := ctx.Err() == nil; c.running != 0 && goesOn != c.goesOn {
				t.Errorf("term %d goes on: %t, want %t", c.running, goesOn, c.goesOn)
			}
		})
	}
}
