package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// attempt is one attempt to run the request of a key at one daemon.
type attempt struct {
	holder *holder
	key    Key
	call   *call
	grant  Grant
	ran    bool
}

// holder is a daemon that runs requests. It gets a new incarnation after a crash.
type holder struct {
	inc   string
	calls *calls
}

type packet struct {
	from, to string
	m        message.Message
}

// simulation simulates an owner and its holders on a network that loses, repeats,
// delays and reorders messages. A paused daemon is simulated by the absence of its
// actions.
type simulation struct {
	now     time.Time
	crashes int
	table   *Table
	holders []*holder
	keys    []Key
	net     []packet
	waiting []*attempt
	granted []*attempt
	runs    map[uuid.UUID]int
}

func (s *simulation) incarnation(name string) string {
	s.crashes++
	return fmt.Sprintf("%s.%d", name, s.crashes)
}

func (s *simulation) send(from, to string, m message.Message) {
	s.net = append(s.net, packet{from, to, m})
}

// pick draws an element of a list and removes it unless keep is set.
func pick[T any](t *rapid.T, name string, from *[]T, keep bool) T {
	if len(*from) == 0 {
		t.Skip("list is empty")
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, name)
	x := (*from)[i]
	if !keep {
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}
	return x
}

// rarely skips an action nine times out of ten, so that runs make progress between
// events that end all open attempts.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") != 7 {
		t.Skip("rare action")
	}
}

// checkNotRun checks that a key reported as not run to its caller has not run.
func (s *simulation) checkNotRun(t *rapid.T, key Key) {
	if s.runs[key.ID] > 0 {
		t.Fatalf("key was reported as not run, but its request ran")
	}
}

func (s *simulation) deliver(t *rapid.T, p packet) {
	if p.to == s.table.Self {
		switch m := p.m.(type) {
		case message.Claim:
			key, _ := ParseKey(m.Key)
			d := s.table.Claim(s.now, key, Holder{p.from, m.Call})
			s.send(p.to, p.from, message.Grant{Call: m.Call, Verdict: uint8(d.Verdict), Token: d.Grant.Token})
		case message.Report:
			key, _ := ParseKey(m.Key)
			s.table.Report(s.now, key, m.Token, backend.Outcome(m.Outcome), m.Response)
		}
		return
	}
	m, ok := p.m.(message.Grant)
	for _, h := range s.holders {
		if h.inc != p.to || !ok {
			continue
		}
		if g := h.calls.handleGrant(p.from, m); g != nil {
			s.report(h, *g, backend.NotRun)
		}
		s.collectResults(t)
	}
}

// collectResults processes the results of waiting calls.
func (s *simulation) collectResults(t *rapid.T) {
	var remaining []*attempt
	for _, a := range s.waiting {
		select {
		case d := <-a.call.result:
			switch d.Verdict {
			case Granted:
				a.grant = d.Grant
				s.granted = append(s.granted, a)
			case Full:
				s.checkNotRun(t, a.key)
			}
		default:
			remaining = append(remaining, a)
		}
	}
	s.waiting = remaining
}

func (s *simulation) report(h *holder, g Grant, o backend.Outcome) {
	s.send(h.inc, g.Key.Owner, message.Report{Key: g.Key.String(), Token: g.Token, Outcome: uint8(o)})
}

// removeAttempts removes the attempts of a holder that crashed.
func (s *simulation) removeAttempts(h *holder) {
	for _, list := range []*[]*attempt{&s.waiting, &s.granted} {
		var rest []*attempt
		for _, a := range *list {
			if a.holder != h {
				rest = append(rest, a)
			}
		}
		*list = rest
	}
}

// TestProtocol guards invariants 4 and 5 of the design: despite lost and repeated
// messages, crashes and clock changes, the request of a key runs at most once, and
// a key whose request ran is never reported as not run.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.UnixMilli(1700000000000), runs: make(map[uuid.UUID]int)}
		s.table = &Table{Self: s.incarnation("home"), MaxKeys: 2}
		for range 2 {
			s.holders = append(s.holders, &holder{s.incarnation("holder"), &calls{}})
		}
		mint := func(t *rapid.T) {
			if len(s.keys) > 3 {
				rarely(t)
			}
			s.keys = append(s.keys, Mint(s.now, s.table.Self))
		}
		mint(t)
		t.Repeat(map[string]func(*rapid.T){
			"mint": mint,
			"attempt": func(t *rapid.T) {
				h := pick(t, "holder", &s.holders, true)
				key := pick(t, "key", &s.keys, true)
				a := &attempt{holder: h, key: key, call: h.calls.start(key)}
				s.waiting = append(s.waiting, a)
				s.send(h.inc, key.Owner, message.Claim{Call: a.call.id, Key: key.String()})
			},
			"ask again": func(t *rapid.T) {
				a := pick(t, "attempt", &s.waiting, true)
				s.send(a.holder.inc, a.key.Owner, message.Claim{Call: a.call.id, Key: a.key.String()})
			},
			"give up": func(t *rapid.T) {
				a := pick(t, "attempt", &s.waiting, false)
				a.holder.calls.abandon(a.call)
			},
			"deliver":   func(t *rapid.T) { s.deliver(t, pick(t, "packet", &s.net, false)) },
			"deliver 2": func(t *rapid.T) { s.deliver(t, pick(t, "packet", &s.net, false)) },
			"deliver 3": func(t *rapid.T) { s.deliver(t, pick(t, "packet", &s.net, false)) },
			"repeat":    func(t *rapid.T) { s.deliver(t, pick(t, "packet", &s.net, true)) },
			"lose":      func(t *rapid.T) { pick(t, "packet", &s.net, false) },
			"run": func(t *rapid.T) {
				a := pick(t, "attempt", &s.granted, true)
				if a.ran {
					t.Skip("attempt already ran")
				}
				a.ran = true
				if s.runs[a.key.ID]++; s.runs[a.key.ID] > 1 {
					t.Fatalf("request of a key ran twice")
				}
			},
			"end": func(t *rapid.T) {
				a := pick(t, "attempt", &s.granted, false)
				outcome := rapid.SampledFrom([]backend.Outcome{backend.Answered, backend.Unknown}).Draw(t, "outcome")
				if !a.ran {
					outcome = backend.NotRun
					s.checkNotRun(t, a.key)
				}
				s.report(a.holder, a.grant, outcome)
			},
			"holder crashes": func(t *rapid.T) {
				rarely(t)
				h := pick(t, "holder", &s.holders, true)
				s.removeAttempts(h)
				h.inc, h.calls = s.incarnation("holder"), &calls{}
			},
			"home crashes": func(t *rapid.T) {
				rarely(t)
				s.table = &Table{Self: s.incarnation("home"), MaxKeys: 2}
			},
			"clock": func(t *rapid.T) {
				rarely(t)
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 16 * time.Minute, -16 * time.Minute}).Draw(t, "by"))
			},
		})
	})
}
