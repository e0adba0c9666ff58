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

// process is a running daemon. Its map may be any version that it has received.
type process struct {
	name, incarnation string
	held              *fleet.Map
	requests          []fleet.Host // the host's entry in the map when the request was sent
	stopped           bool         // sent a shutdown notice
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
	shutdown    bool
}

// model is one zone: every version of its map, its daemons, messages in
// transit, and the confirmations of the current manager.
type model struct {
	versions   []*fleet.Map
	running    []*process
	registered map[string]string // incarnation to name; registrations expire at any time
	messages   []message
	confirms   fleet.Confirmations
	gone       map[string]bool
	started    int
	now        time.Time
}

func (md *model) current() *fleet.Map { return md.versions[len(md.versions)-1] }

func (md *model) edit(t *rapid.T, events ...fleet.Event) {
	md.now = md.now.Add(time.Second)
	next, err := md.current().Apply(md.now, "m", events...)
	if err != nil {
		t.Fatalf("allowed event failed: %v", err)
	}
	md.versions = append(md.versions, next)
	if md.current().Host("h1") == nil { // a replaced host returns
		md.edit(t, fleet.HostAdded{Host: "h1", Rack: "r", Spare: spare})
	}
}

func (md *model) start(name string, held *fleet.Map) {
	md.started++
	p := &process{name: name, incarnation: fmt.Sprintf("%s.%04d", name, md.started), held: held}
	md.running = append(md.running, p)
	md.registered[p.incarnation] = name
}

func (md *model) pick(t *rapid.T) *process {
	if len(md.running) == 0 {
		t.Skip("no daemon")
	}
	return rapid.SampledFrom(md.running).Draw(t, "daemon")
}

// nextEvent returns the next event of a host, as the manager would decide.
func (md *model) nextEvent(t *rapid.T, h *fleet.Host) fleet.Event {
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
		if len(md.confirms.Waits(md.current(), h)) > 0 {
			t.Skip("drain waits")
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

// managerActions returns the actions that the safety of a drain depends on.
func (md *model) managerActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"host": func(t *rapid.T) {
			hosts := md.current().Hosts
			h := rapid.SampledFrom(hosts).Draw(t, "host")
			md.edit(t, md.nextEvent(t, &h))
		},
		"replace host": func(t *rapid.T) {
			h := rapid.SampledFrom(md.current().Hosts).Draw(t, "host")
			md.edit(t, fleet.HostGone{Host: h.Name})
		},
		"join": func(t *rapid.T) {
			var daemons []fleet.Join
			for _, incarnation := range slices.Sorted(maps.Keys(md.registered)) {
				md.confirms.RecordIncarnation(md.registered[incarnation], incarnation)
				daemons = append(daemons, fleet.Join{Name: md.registered[incarnation], Incarnation: incarnation})
			}
			for _, e := range md.confirms.Joins(md.current(), daemons, func(n string) bool { return md.gone[n] }) {
				md.edit(t, e)
			}
		},
		"part": func(t *rapid.T) {
			for _, e := range md.confirms.Leaves(md.current(), func(n string) bool { return md.gone[n] }) {
				md.edit(t, e)
			}
			md.confirms.Prune(md.current())
		},
		"settle": func(t *rapid.T) { // one daemon without faults
			p := md.pick(t)
			p.held = md.current()
			if rapid.Bool().Draw(t, "finish") {
				p.requests = nil
			}
			md.confirms.RecordIncarnation(p.name, p.incarnation)
			md.confirms.Confirm(p.incarnation, p.held.Version, p.outstanding())
		},
		"message": func(t *rapid.T) { // messages arrive in any order, or never
			if len(md.messages) == 0 {
				t.Skip("no message")
			}
			i := rapid.IntRange(0, len(md.messages)-1).Draw(t, "message")
			msg := md.messages[i]
			md.messages = slices.Delete(md.messages, i, i+1)
			md.confirms.RecordIncarnation(msg.p.name, msg.incarnation)
			if msg.shutdown {
				md.confirms.RecordShutdown(msg.incarnation)
			} else {
				md.confirms.Confirm(msg.incarnation, msg.version, msg.outstanding)
			}
		},
	}
}

// daemonActions returns the actions of daemons, which are independent of the
// manager: daemons may be late, partitioned or paused. The manager may be
// replaced by a new one that has received no message.
func (md *model) daemonActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"map": func(t *rapid.T) {
			p := md.pick(t)
			if m := rapid.SampledFrom(md.versions).Draw(t, "version"); m.Version > p.held.Version {
				p.held = m
			}
		},
		"route": func(t *rapid.T) {
			p := md.pick(t)
			if p.stopped || !p.held.HasMember(p.incarnation) {
				t.Skip("not listed")
			}
			for _, h := range p.held.Hosts {
				if h.State == fleet.Serving {
					p.requests = append(p.requests, h)
				}
			}
		},
		"finish": func(t *rapid.T) { md.pick(t).requests = nil },
		"confirm": func(t *rapid.T) {
			p := md.pick(t)
			md.messages = append(md.messages, message{p, p.incarnation, p.held.Version, p.outstanding(), false})
		},
		"bye": func(t *rapid.T) {
			p := md.pick(t)
			p.stopped, p.requests = true, nil
			md.messages = append(md.messages, message{p, p.incarnation, p.held.Version, p.outstanding(), true})
		},
		"new manager": func(*rapid.T) { md.confirms = fleet.Confirmations{} },
		"lapse":       func(t *rapid.T) { delete(md.registered, md.pick(t).incarnation) },
		"register": func(t *rapid.T) {
			p := md.pick(t)
			md.registered[p.incarnation] = p.name
		},
		"restart": func(t *rapid.T) { // with the map of any peer, of any version
			p := md.pick(t)
			md.running = slices.DeleteFunc(md.running, func(q *process) bool { return q == p })
			delete(md.registered, p.incarnation)
			md.start(p.name, rapid.SampledFrom(md.versions).Draw(t, "version"))
		},
		"replace entry host": func(t *rapid.T) {
			p := md.pick(t)
			if md.gone[p.name] = !md.gone[p.name]; md.gone[p.name] {
				md.running = slices.DeleteFunc(md.running, func(q *process) bool { return q == p })
				md.start(p.name, md.versions[0])
			}
		},
	}
}

// check fails if a host has a task of one pool while a daemon may still send it
// requests of another pool, or has such requests outstanding.
func (md *model) check(t *rapid.T) {
	if err := md.current().Validate(); err != nil {
		t.Fatal(err)
	}
	for _, p := range md.running {
		sent := slices.Clone(p.requests)
		if !p.stopped && p.held.HasMember(p.incarnation) {
			for _, h := range p.held.Hosts {
				if h.State == fleet.Serving {
					sent = append(sent, h)
				}
			}
		}
		for _, old := range sent {
			h := md.current().Host(old.Name)
			if h == nil || h.Task == "" || h.Pool == old.Pool {
				continue
			}
			t.Fatalf("host %s has a task of pool %s in version %d, but daemon %s may send it requests of pool %s (map version %d)",
				h.Name, h.Pool, md.current().Version, p.incarnation, old.Pool, p.held.Version)
		}
	}
}

// TestNoSecondPool guards against a host that has a task of a second pool while
// a daemon may still send it requests of the first, under lost and reordered
// messages, restarts, expired registrations and new managers.
func TestNoSecondPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		md := &model{registered: make(map[string]string), gone: make(map[string]bool), now: time.Unix(1, 0)}
		md.versions = []*fleet.Map{{Zone: "z"}}
		md.edit(t)
		md.start("d1", md.current())
		md.start("d2", md.current())
		actions, faults := md.managerActions(), md.daemonActions()
		names := slices.Sorted(maps.Keys(faults))
		// Moving a host to a second pool takes many steps, so faults are made
		// less frequent.
		actions["fault"] = func(t *rapid.T) { faults[rapid.SampledFrom(names).Draw(t, "fault")](t) }
		actions["host again"], actions["settle again"], actions["route"] = actions["host"], actions["settle"], faults["route"]
		actions[""] = md.check
		for range 20 { // one Repeat is too short for two moves of a host
			t.Repeat(actions)
		}
	})
}
