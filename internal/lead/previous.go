package lead

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// vacancy is the time without a leader before a term.
type vacancy struct {
	term  runner.Term    // whose leader key was deleted
	since clock.BootTime // when this daemon first saw that key: the terms before had ended
	at    clock.BootTime // all terms had ended
}

// earlierUntil returns the time after which the leaders before the previous one send
// no commands.
func (v *vacancy) earlierUntil() clock.BootTime { return v.since.Add(RenewDeadline + commandTransit) }

// previousTerm is the term before this one.
type previousTerm struct {
	Holder
	id runner.Term
}

// decodePrevious decodes the record of the previous term. It returns nil if there is
// none.
func (l *Leader) decodePrevious(it kv.Item) *previousTerm {
	if it.Rev == 0 {
		return nil
	}
	var h Holder
	if err := cbor.Unmarshal(it.Value, &h); err != nil {
		l.cfg.Logger.Log("msg", "record of the previous term decoding failed", "rev", int64(it.Rev), "err", err)
		return nil
	}
	return &previousTerm{Holder: h, id: runner.Term(it.Rev)}
}

// daemonReply is the last reply of a process of a daemon to this one.
type daemonReply struct {
	incarnation string
	at          clock.BootTime // the reply came at this time or later
}

// DaemonReplied records that a process of a daemon replied to this one at or after
// a time.
func (l *Leader) DaemonReplied(name, incarnation string, at clock.BootTime) {
	if incarnation == "" {
		return // a daemon of an earlier version
	}
	l.mu.Lock()
	if l.replies == nil {
		l.replies = make(map[string]daemonReply)
	}
	l.replies[name] = daemonReply{incarnation, at}
	l.mu.Unlock()
	if t := l.current.Load(); t != nil {
		l.checkPrevious(t)
	}
}

// checkPrevious tells the state if the process of the previous leader has ended:
// another process of that daemon has replied since its term.
func (l *Leader) checkPrevious(t *term) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.previous == nil {
		return
	}
	l.mu.Lock()
	r, ok := l.replies[t.previous.Name]
	l.mu.Unlock()
	if !ok || r.incarnation == t.previous.Incarnation || !r.at.After(t.vacancy.at) {
		return
	}
	t.logger.Log("msg", "process of the previous leader has ended", "leader", t.previous.Name, "incarnation", t.previous.Incarnation, "present", r.incarnation, "after", r.at.Sub(t.vacancy.at))
	t.previousEnded(r.at)
}

// previousEnded records that the previous leader had sent its last command by a time.
// The mutex must be held.
func (t *term) previousEnded(at clock.BootTime) {
	t.previous = nil
	t.state.PreviousLeaderEnded(at.Add(t.cfg.CommandTime+commandTransit), t.vacancy.earlierUntil())
	t.wakeLister()
}

// TermState is what a process says of one of its terms.
type TermState struct {
	Name        string // of its daemon
	Incarnation string
	// Ended is set if the process sends no more commands of the term and of those
	// before it, other than those that relays hold.
	Ended bool
}

// Peers asks other daemons.
type Peers interface {
	// EndTerm asks the process at an address to end a term of its own, which a later
	// one has followed.
	EndTerm(ctx context.Context, at netip.AddrPort, id runner.Term) (TermState, error)
}

// EndTerm ends a term of this process, which a later one has followed, and returns
// its state.
func (l *Leader) EndTerm(id runner.Term) TermState {
	s := TermState{Name: l.cfg.Self.Name, Incarnation: l.cfg.Self.Incarnation, Ended: !l.contending.Load()}
	if t := l.running.Load(); !s.Ended && t != nil {
		s.Ended = t.id > id
		if !s.Ended {
			t.end(errLostLeadership)
		}
	}
	return s
}

// askInterval is the time between two requests to the previous leader. One that was
// paused replies to the last request as soon as it goes on.
const askInterval = 200 * time.Millisecond

// askPrevious asks the process of the previous leader to end its term, until it has or
// nothing waits for that.
func (l *Leader) askPrevious(ctx context.Context, t *term) {
	failed := false
	for ctx.Err() == nil {
		t.mu.Lock()
		p := t.previous
		waits := p != nil && t.state.WaitsForPrevious()
		t.mu.Unlock()
		if !waits {
			return
		}
		if err := l.askTerm(ctx, t, p); err != nil && ctx.Err() == nil && !failed {
			failed = true // one line for all requests of the term
			t.logger.Log("msg", "previous leader does not reply, it is asked again", "leader", p.Name, "addr", p.Addr, "err", err)
		}
		clock.Sleep(ctx, askInterval)
	}
}

// askTerm asks the process of the previous leader once.
func (l *Leader) askTerm(ctx context.Context, t *term, p *previousTerm) error {
	sent := clock.Now()
	var s TermState
	switch {
	case p.Incarnation == l.cfg.Self.Incarnation:
		// Its terms follow each other.
		s = TermState{Name: p.Name, Incarnation: p.Incarnation, Ended: true}
	case l.cfg.Peers == nil:
		return nil
	default:
		var err error
		if s, err = l.cfg.Peers.EndTerm(ctx, p.Addr, p.id); err != nil {
			return err
		}
	}
	if s.Name != p.Name || s.Incarnation != p.Incarnation {
		l.DaemonReplied(s.Name, s.Incarnation, sent)
		return nil
	}
	if !s.Ended {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.previous != p {
		return nil
	}
	now := clock.Now()
	t.logger.Log("msg", "term of the previous leader has ended", "leader", p.Name, "incarnation", p.Incarnation, "previous", int64(p.id), "after", now.Sub(t.vacancy.at))
	t.previousEnded(now)
	return nil
}
