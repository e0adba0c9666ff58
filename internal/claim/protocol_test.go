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

// attempt is one request with a key at one daemon.
type attempt struct {
	holder *holder
	key    Key
	call   *call
	grant  Grant
	ran    bool
}

// holder is a daemon that runs requests. A crash gives it a new incarnation.
type holder struct {
	inc   string
	calls *calls
}

type packet struct {
	from, to string
	m        message.Message
}

// world is a home and its holders on a network that loses, repeats, delays and
// reorders. A pause of a daemon is the absence of its actions.
type world struct {
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

func (w *world) incarnation(name string) string {
	w.crashes++
	return fmt.Sprintf("%s.%d", name, w.crashes)
}

func (w *world) send(from, to string, m message.Message) {
	w.net = append(w.net, packet{from, to, m})
}

// pick draws an element and removes it unless keep is set.
func pick[T any](t *rapid.T, name string, from *[]T, keep bool) T {
	if len(*from) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, name)
	x := (*from)[i]
	if !keep {
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}
	return x
}

// rarely skips an action nine times of ten, so that runs get far between the
// events that end everything under way.
func rarely(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") != 7 {
		t.Skip("rare")
	}
}

// toldNotRun checks what a caller is told.
func (w *world) toldNotRun(t *rapid.T, key Key) {
	if w.runs[key.ID] > 0 {
		t.Fatalf("a key that ran is reported not run")
	}
}

func (w *world) deliver(t *rapid.T, p packet) {
	if p.to == w.table.Self {
		switch m := p.m.(type) {
		case message.Claim:
			key, _ := ParseKey(m.Key)
			d := w.table.Claim(w.now, key, Holder{p.from, m.Call})
			w.send(p.to, p.from, message.Grant{Call: m.Call, Verdict: uint8(d.Verdict), Token: d.Grant.Token})
		case message.Report:
			key, _ := ParseKey(m.Key)
			w.table.Report(w.now, key, m.Token, backend.Outcome(m.Outcome), m.Response)
		}
		return
	}
	m, ok := p.m.(message.Grant)
	for _, h := range w.holders {
		if h.inc != p.to || !ok {
			continue
		}
		if g := h.calls.answer(p.from, m); g != nil {
			w.report(h, *g, backend.NotRun)
		}
		w.collect(t)
	}
}

// collect takes the results of the calls that have one.
func (w *world) collect(t *rapid.T) {
	var still []*attempt
	for _, a := range w.waiting {
		select {
		case d := <-a.call.result:
			switch d.Verdict {
			case Granted:
				a.grant = d.Grant
				w.granted = append(w.granted, a)
			case Full:
				w.toldNotRun(t, a.key)
			}
		default:
			still = append(still, a)
		}
	}
	w.waiting = still
}

func (w *world) report(h *holder, g Grant, o backend.Outcome) {
	w.send(h.inc, g.Key.Owner, message.Report{Key: g.Key.String(), Token: g.Token, Outcome: uint8(o)})
}

// forget drops the attempts of a daemon that crashed.
func (w *world) forget(h *holder) {
	for _, list := range []*[]*attempt{&w.waiting, &w.granted} {
		var rest []*attempt
		for _, a := range *list {
			if a.holder != h {
				rest = append(rest, a)
			}
		}
		*list = rest
	}
}

// TestProtocol guards invariants 4 and 5 of the design: over all losses,
// repetitions, crashes and clock changes, the request of a key runs at most
// once, and no key that ran is reported not run.
func TestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.UnixMilli(1700000000000), runs: make(map[uuid.UUID]int)}
		w.table = &Table{Self: w.incarnation("home"), MaxKeys: 2}
		for range 2 {
			w.holders = append(w.holders, &holder{w.incarnation("holder"), &calls{}})
		}
		mint := func(t *rapid.T) {
			if len(w.keys) > 3 {
				rarely(t)
			}
			w.keys = append(w.keys, Mint(w.now, w.table.Self))
		}
		mint(t)
		t.Repeat(map[string]func(*rapid.T){
			"mint": mint,
			"attempt": func(t *rapid.T) {
				h := pick(t, "holder", &w.holders, true)
				key := pick(t, "key", &w.keys, true)
				a := &attempt{holder: h, key: key, call: h.calls.start(key)}
				w.waiting = append(w.waiting, a)
				w.send(h.inc, key.Owner, message.Claim{Call: a.call.id, Key: key.String()})
			},
			"ask again": func(t *rapid.T) {
				a := pick(t, "attempt", &w.waiting, true)
				w.send(a.holder.inc, a.key.Owner, message.Claim{Call: a.call.id, Key: a.key.String()})
			},
			"give up": func(t *rapid.T) {
				a := pick(t, "attempt", &w.waiting, false)
				a.holder.calls.abandon(a.call)
			},
			"deliver":   func(t *rapid.T) { w.deliver(t, pick(t, "packet", &w.net, false)) },
			"deliver 2": func(t *rapid.T) { w.deliver(t, pick(t, "packet", &w.net, false)) },
			"deliver 3": func(t *rapid.T) { w.deliver(t, pick(t, "packet", &w.net, false)) },
			"repeat":    func(t *rapid.T) { w.deliver(t, pick(t, "packet", &w.net, true)) },
			"lose":      func(t *rapid.T) { pick(t, "packet", &w.net, false) },
			"run": func(t *rapid.T) {
				a := pick(t, "attempt", &w.granted, true)
				if a.ran {
					t.Skip("ran")
				}
				a.ran = true
				if w.runs[a.key.ID]++; w.runs[a.key.ID] > 1 {
					t.Fatalf("a key ran twice")
				}
			},
			"end": func(t *rapid.T) {
				a := pick(t, "attempt", &w.granted, false)
				outcome := rapid.SampledFrom([]backend.Outcome{backend.Answered, backend.Unknown}).Draw(t, "outcome")
				if !a.ran {
					outcome = backend.NotRun
					w.toldNotRun(t, a.key)
				}
				w.report(a.holder, a.grant, outcome)
			},
			"holder crashes": func(t *rapid.T) {
				rarely(t)
				h := pick(t, "holder", &w.holders, true)
				w.forget(h)
				h.inc, h.calls = w.incarnation("holder"), &calls{}
			},
			"home crashes": func(t *rapid.T) {
				rarely(t)
				w.table = &Table{Self: w.incarnation("home"), MaxKeys: 2}
			},
			"clock": func(t *rapid.T) {
				rarely(t)
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 16 * time.Minute, -16 * time.Minute}).Draw(t, "by"))
			},
		})
	})
}
