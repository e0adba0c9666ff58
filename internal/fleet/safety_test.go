package fleet_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

const spare = "spare"

// process is a living daemon. Its map may be any version that it was given.
type process struct {
	name, incarnation string
	held              *fleet.Map
	requests          []fleet.Host // the host's record when the request was sent
	stopped           bool         // said bye
}

func (p *process) outstanding() map[string]int {
	n := make(map[string]int)
	for i := range p.held.Hosts {
		if p.held.Hosts[i].State == fleet.Draining {
			n[p.held.Hosts[i].Name] = 0
		}
	}
	for _, r := range p.requests {
		n[r.Name]++
	}
	return n
}

type message struct {
	p           *process
	incarnation string
	version     uint64
	outstanding map[string]int
	bye         bool
}

// model is one zone: every version of its map, its daemons, messages that are
// on their way, and the present manager's bookkeeping.
type model struct {
	versions   []*fleet.Map
	living     []*process
	registered map[string]string // incarnation to name; lapses at any time
	messages   []message
	confirms   fleet.Confirmations
	gone       map[string]bool
	started    int
	now        time.Time
}

func (w *model) current() *fleet.Map { return w.versions[len(w.versions)-1] }

func (w *model) edit(t *rapid.T, events ...fleet.Event) {
	w.now = w.now.Add(time.Second)
	next, err := w.current().Apply(w.now, "m", events...)
	if err != nil {
		t.Fatalf("an allowed event failed: %v", err)
	}
	w.versions = append(w.versions, next)
	if w.current().Host("h1") == nil { // a replaced host comes back
		w.edit(t, fleet.HostAdded{Host: "h1", Rack: "r", Spare: spare})
	}
}

func (w *model) start(name string, held *fleet.Map) {
	w.started++
	p := &process{name: name, incarnation: fmt.Sprintf("%s.%04d", name, w.started), held: held}
	w.living = append(w.living, p)
	w.registered[p.incarnation] = name
}

func (w *model) pick(t *rapid.T) *process {
	if len(w.living) == 0 {
		t.Skip("no daemon")
	}
	return rapid.SampledFrom(w.living).Draw(t, "daemon")
}

// step is the next event of a host, as the manager would decide.
func (w *model) step(t *rapid.T, h *fleet.Host) fleet.Event {
	pool := rapid.SampledFrom([]string{spare, "a", "b"}).Draw(t, "pool")
	switch h.State {
	case fleet.Free:
		return rapid.SampledFrom([]fleet.Event{
			fleet.Grant{Host: h.Name, Pool: pool, Slots: 8},
			fleet.Grant{Host: h.Name, Pool: pool, Slots: 8},
			fleet.Maintain{Host: h.Name},
			fleet.Quarantine{Host: h.Name},
		}).Draw(t, "event")
	case fleet.Starting:
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, h.Name[1]}), 80)
		return rapid.SampledFrom([]fleet.Event{
			fleet.Started{Host: h.Name, Task: h.Task, Addr: addr},
			fleet.Started{Host: h.Name, Task: h.Task, Addr: addr},
			fleet.StartFailed{Host: h.Name, Task: h.Task, Spare: spare},
			fleet.Drain{Host: h.Name, Next: pool},
		}).Draw(t, "event")
	case fleet.Serving:
		return rapid.SampledFrom([]fleet.Event{
			fleet.Drain{Host: h.Name, Next: pool},
			fleet.Drain{Host: h.Name},
			fleet.Lost{Host: h.Name, Task: h.Task},
		}).Draw(t, "event")
	case fleet.Draining:
		if len(w.confirms.Waits(w.current(), h)) > 0 {
			t.Skip("the drain waits")
		}
		if h.Addr.IsValid() && !h.Gone && rapid.Bool().Draw(t, "resume") {
			return fleet.Resume{Host: h.Name}
		}
		return fleet.Drained{Host: h.Name, Changed: h.Changed}
	case fleet.Stopping:
		return fleet.Stopped{Host: h.Name, Task: h.Task, Spare: spare}
	case fleet.Maintenance:
		return fleet.Maintained{Host: h.Name, Spare: spare}
	default:
		return fleet.Maintain{Host: h.Name}
	}
}

// manager acts that the drain's safety depends on.
func (w *model) manager() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"host": func(t *rapid.T) {
			hosts := w.current().Hosts
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			w.edit(t, w.step(t, &h))
		},
		"replace host": func(t *rapid.T) {
			h := rapid.SampledFrom(w.current().Hosts).Draw(t, "host")
			w.edit(t, fleet.HostGone{Host: h.Name})
		},
		"join": func(t *rapid.T) {
			var daemons []fleet.Join
			for _, incarnation := range slices.Sorted(maps.Keys(w.registered)) {
				w.confirms.RecordIncarnation(w.registered[incarnation], incarnation)
				daemons = append(daemons, fleet.Join{Name: w.registered[incarnation], Incarnation: incarnation})
			}
			for _, e := range w.confirms.Joins(w.current(), daemons, func(n string) bool { return w.gone[n] }) {
				w.edit(t, e)
			}
		},
		"part": func(t *rapid.T) {
			for _, e := range w.confirms.Leaves(w.current(), func(n string) bool { return w.gone[n] }) {
				w.edit(t, e)
			}
			w.confirms.Prune(w.current())
		},
		"settle": func(t *rapid.T) { // one daemon without trouble
			p := w.pick(t)
			p.held = w.current()
			if rapid.Bool().Draw(t, "finish") {
				p.requests = nil
			}
			w.confirms.RecordIncarnation(p.name, p.incarnation)
			w.confirms.Confirm(p.incarnation, p.held.Version, p.outstanding())
		},
		"message": func(t *rapid.T) { // messages arrive in any order, or never
			if len(w.messages) == 0 {
				t.Skip("no message")
			}
			i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
			msg := w.messages[i]
			w.messages = slices.Delete(w.messages, i, i+1)
			w.confirms.RecordIncarnation(msg.p.name, msg.incarnation)
			if msg.bye {
				w.confirms.RecordShutdown(msg.incarnation)
			} else {
				w.confirms.Confirm(msg.incarnation, msg.version, msg.outstanding)
			}
		},
	}
}

// daemons act without regard to the manager: late, partitioned or paused. The
// manager may be replaced by one that has seen no message.
func (w *model) daemons() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"map": func(t *rapid.T) {
			p := w.pick(t)
			if m := rapid.SampledFrom(w.versions).Draw(t, "version"); m.Version > p.held.Version {
				p.held = m
			}
		},
		"route": func(t *rapid.T) {
			p := w.pick(t)
			if p.stopped || !p.held.HasMember(p.incarnation) {
				t.Skip("not listed")
			}
			for _, h := range p.held.Hosts {
				if h.State == fleet.Serving {
					p.requests = append(p.requests, h)
				}
			}
		},
		"finish": func(t *rapid.T) { w.pick(t).requests = nil },
		"confirm": func(t *rapid.T) {
			p := w.pick(t)
			w.messages = append(w.messages, message{p, p.incarnation, p.held.Version, p.outstanding(), false})
		},
		"bye": func(t *rapid.T) {
			p := w.pick(t)
			p.stopped, p.requests = true, nil
			w.messages = append(w.messages, message{p, p.incarnation, p.held.Version, p.outstanding(), true})
		},
		"new manager": func(*rapid.T) { w.confirms = fleet.Confirmations{} },
		"lapse":       func(t *rapid.T) { delete(w.registered, w.pick(t).incarnation) },
		"register": func(t *rapid.T) {
			p := w.pick(t)
			w.registered[p.incarnation] = p.name
		},
		"restart": func(t *rapid.T) { // with the map of any peer, however old
			p := w.pick(t)
			w.living = slices.DeleteFunc(w.living, func(q *process) bool { return q == p })
			delete(w.registered, p.incarnation)
			w.start(p.name, rapid.SampledFrom(w.versions).Draw(t, "version"))
		},
		"replace entry host": func(t *rapid.T) {
			p := w.pick(t)
			if w.gone[p.name] = !w.gone[p.name]; w.gone[p.name] {
				w.living = slices.DeleteFunc(w.living, func(q *process) bool { return q == p })
				w.start(p.name, w.versions[0])
			}
		},
	}
}

// check fails if a task of a host belongs to another pool than a daemon may
// still send to, or has outstanding requests for.
func (w *model) check(t *rapid.T) {
	if err := w.current().Check(); err != nil {
		t.Fatal(err)
	}
	for _, p := range w.living {
		sent := slices.Clone(p.requests)
		if !p.stopped && p.held.HasMember(p.incarnation) {
			for _, h := range p.held.Hosts {
				if h.State == fleet.Serving {
					sent = append(sent, h)
				}
			}
		}
		for _, old := range sent {
			h := w.current().Host(old.Name)
			if h == nil || h.Task == "" || h.Pool == old.Pool {
				continue
			}
			t.Fatalf("%s runs a task of pool %s in version %d, but %s may send it requests of pool %s (map %d)",
				h.Name, h.Pool, w.current().Version, p.incarnation, old.Pool, p.held.Version)
		}
	}
}

// TestNoSecondPool guards against a host that runs a second pool's task while a
// daemon may still send it requests of the first, under lost and reordered
// messages, restarts, lapsed registrations and new managers.
func TestNoSecondPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{registered: make(map[string]string), gone: make(map[string]bool), now: time.Unix(1, 0)}
		w.versions = []*fleet.Map{{Zone: "z"}}
		w.edit(t)
		w.start("d1", w.current())
		w.start("d2", w.current())
		acts, faults := w.manager(), w.daemons()
		names := slices.Sorted(maps.Keys(faults))
		// A second pool takes a long run of steps, so faults come less often.
		acts["fault"] = func(t *rapid.T) { faults[rapid.SampledFrom(names).Draw(t, "fault")](t) }
		acts["host again"], acts["settle again"], acts["route"] = acts["host"], acts["settle"], faults["route"]
		acts[""] = w.check
		for range 20 { // one Repeat is too short for two moves of a host
			t.Repeat(acts)
		}
	})
}
