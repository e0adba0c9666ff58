package claim

import "gypsumtrestle.example/gypsumtrestle/internal/peer/message"

// maxAbandoned bounds the calls whose late grants are returned. A grant of a
// forgotten call stays with its key, which is safe.
const maxAbandoned = 4096

// call is one claim at a remote home. Result has room for its one result.
type call struct {
	id     uint64
	key    Key
	result chan Decision
}

// calls holds a holder's open claims. Each call uses at most one grant: it is
// removed with the first result, and one that is abandoned never runs. It is
// not safe for concurrent use.
type calls struct {
	last      uint64
	waiting   map[uint64]*call
	abandoned map[uint64]*call
	order     []uint64 // of abandoned, oldest first
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

// abandon ends a call that waits. A grant that arrives later is returned.
func (cs *calls) abandon(c *call) {
	if cs.waiting[c.id] == nil {
		return
	}
	delete(cs.waiting, c.id)
	cs.abandoned[c.id] = c
	cs.order = append(cs.order, c.id)
	if len(cs.order) > maxAbandoned {
		delete(cs.abandoned, cs.order[0])
		cs.order = cs.order[1:]
	}
}

// answer takes a message of the home. It returns a grant that nobody will use,
// to be reported as not run, or nil. Copies of a grant that was used or
// returned are ignored: their token may belong to a run.
func (cs *calls) answer(home string, m message.Grant) *Grant {
	c, late := cs.waiting[m.Call], false
	if c == nil {
		c, late = cs.abandoned[m.Call], true
	}
	if c == nil || c.key.Owner != home {
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
