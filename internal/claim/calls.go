package claim

import "gypsumtrestle.example/gypsumtrestle/internal/peer/message"

// maxAbandoned is the maximum number of abandoned calls whose late grants are
// reported as not run. If a call has been discarded, its key stays granted, which
// is safe.
const maxAbandoned = 4096

// call is one claim to a remote owner. The channel result is buffered for its only
// result.
type call struct {
	id     uint64
	key    Key
	result chan Decision
}

// calls holds the open calls of a holder. Each call uses at most one grant: it is
// removed with its first result, and an abandoned call never runs. calls is not
// safe for concurrent use.
type calls struct {
	last           uint64
	waiting        map[uint64]*call
	abandoned      map[uint64]*call
	abandonedOrder []uint64 // IDs of abandoned calls, oldest first
}

func (cs *calls) start(key Key) *call {
	if cs.waiting == nil {
		cs.waiting = make(map[uint64]*call)
		cs.abandoned = make(map[uint64]*call)
	}
	cs.last++
	c := &call{id: cs.last, key: key, result: make(chan Decision, 1)}
	cs.waiting[c.id] = c
	return c
}

// abandon ends a waiting call. A grant that is received later is reported as not
// run.
func (cs *calls) abandon(c *call) {
	if cs.waiting[c.id] == nil {
		return
	}
	delete(cs.waiting, c.id)
	cs.abandoned[c.id] = c
	cs.abandonedOrder = append(cs.abandonedOrder, c.id)
	if len(cs.abandonedOrder) > maxAbandoned {
		delete(cs.abandoned, cs.abandonedOrder[0])
		cs.abandonedOrder = cs.abandonedOrder[1:]
	}
}

// handleGrant processes a message of the owner. If the call was abandoned, it
// returns the unused grant, which must be reported as not run, and otherwise nil.
// Copies of a grant that was already used or returned are ignored: their token may
// belong to a run.
func (cs *calls) handleGrant(owner string, m message.Grant) *Grant {
	c, late := cs.waiting[m.Call], false
	if c == nil {
		c, late = cs.abandoned[m.Call], true
	}
	if c == nil || c.key.Owner != owner {
		return nil
	}
	d := Decision{Verdict: Verdict(m.Verdict), Response: m.Response}
	if d.Verdict == Granted {
		d.Grant = Grant{Key: c.key, Token: m.Token}
	}
	delete(cs.waiting, m.Call)
	delete(cs.abandoned, m.Call)
	if !late {
		c.result <- d
		return nil
	}
	if d.Verdict == Granted {
		return &d.Grant
	}
	return nil
}
