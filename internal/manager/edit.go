package manager

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/wave"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// States of runner tasks on the platform.
const (
	running = "running"
	failed  = "failed"
	stopped = "stopped"
)

// decision is an event and its log message.
type decision struct {
	event           fleet.Event
	message, reason string
	subject         string // host or daemon
	pool            string
}

// batch collects the events of one map write.
type batch struct {
	*Manager
	now       time.Time
	sparePool string
	m         *fleet.Map // with the events applied so far
	decisions []decision
}

// add applies an event to the batch. An event that the map rejects is skipped;
// the next round decides again.
func (b *batch) add(d decision) {
	next, err := b.m.Apply(b.now, b.Self.Incarnation, d.event)
	if err != nil {
		if b.lastRejected != err.Error() {
			b.lastRejected = err.Error()
			b.log("msg", "map event rejected", "err", err)
		}
		return
	}
	next.Version = b.store.m.Version // all events of a batch form one version
	b.m = next
	b.decisions = append(b.decisions, d)
}

// edit decides which changes to make to the map and writes it.
func (m *Manager) edit(ctx context.Context) error {
	v := m.State.View()
	if v.Text == nil {
		return nil
	}
	if v.PlanVersion != m.plan {
		m.plan, m.reported = v.PlanVersion, make(map[string]string)
	}
	b := &batch{Manager: m, now: time.Now(), m: m.store.m}
	for i := range v.Text.Services {
		if v.Text.Services[i].Spare {
			b.sparePool = v.Text.Services[i].Name
		}
	}
	b.roster()
	b.hosts()
	b.transitions()
	b.planWaves(v.Text, v.Maps)
	if len(b.decisions) == 0 {
		return nil
	}
	next := *b.m
	next.Version++
	ok, err := m.write(ctx, &next)
	if err != nil || !ok {
		return err
	}
	for _, d := range b.decisions {
		m.log("msg", d.message, "subject", d.subject, "pool", d.pool, "reason", d.reason, "version", next.Version)
	}
	return nil
}

// roster adds and removes daemons of the roster.
func (b *batch) roster() {
	b.mu.Lock()
	daemons := slices.SortedFunc(maps.Values(b.daemons), func(x, y fleet.Join) int {
		return slices.Compare([]byte(x.Incarnation), []byte(y.Incarnation))
	})
	leaves := b.confirms.Leaves(b.m, b.entryGone)
	joins := b.confirms.Joins(b.m, daemons, b.entryGone)
	b.confirms.Prune(b.m)
	maps.DeleteFunc(b.daemons, func(_ string, d fleet.Join) bool { return b.confirms.Replaced(d.Name, d.Incarnation) })
	b.mu.Unlock()
	for _, e := range leaves {
		b.add(decision{e, "daemon left the roster", e.Proof.String(), e.Incarnation, ""})
	}
	for _, e := range joins {
		b.add(decision{e, "daemon joined the roster", "registered or connected", e.Incarnation, ""})
	}
}

// hosts adds workers and marks them as gone according to the host list. A host
// that is missing from the list stays as it is, because the list lags.
func (b *batch) hosts() {
	for _, name := range slices.Sorted(maps.Keys(b.seen.workers)) {
		l, h := b.seen.workers[name], b.m.Host(name)
		switch {
		case l.State == etcd.Live && h == nil:
			b.add(decision{fleet.HostAdded{Host: name, Rack: l.Rack, Spare: b.sparePool, Maintained: l.Booted}, "host added", "host list", name, ""})
		case l.State == etcd.Gone && h != nil && !h.Gone:
			b.add(decision{fleet.HostGone{Host: name}, "host gone", "host list", name, ""})
		}
	}
}

// transitions advances each host whose current state is complete.
func (b *batch) transitions() {
	for _, h := range slices.Clone(b.m.Hosts) {
		t, listed := b.seen.tasks[h.Task]
		ended := t.State == failed || t.State == stopped
		switch h.State {
		case fleet.Starting:
			b.checkStart(&h, t)
		case fleet.Serving:
			if ended || !listed {
				b.add(decision{fleet.Lost{Host: h.Name, Task: h.Task, Failed: t.State == failed}, "runner lost", "task " + h.Task + " has ended", h.Name, ""})
			}
		case fleet.Draining:
			b.mu.Lock()
			waits := b.confirms.Waits(b.m, &h)
			b.mu.Unlock()
			if len(waits) == 0 {
				b.add(decision{fleet.Drained{Host: h.Name, Changed: h.Changed}, "host drained", "all daemons confirmed", h.Name, ""})
			}
		case fleet.Stopping:
			if ended || !listed && b.stopAcknowledged(h.Task) {
				b.completeStop(&h)
			}
		case fleet.Maintenance:
			l := b.seen.workers[h.Name]
			if l != nil && l.State == etcd.Live && !l.Booted.Equal(h.Booted) {
				b.add(decision{fleet.Maintained{Host: h.Name, Spare: b.sparePool}, "host maintained", "it rebooted", h.Name, ""})
			}
		}
	}
}

func (b *batch) checkStart(h *fleet.Host, t etcd.Task) {
	switch {
	case t.State == running && t.Addr.IsValid():
		b.add(decision{fleet.Started{Host: h.Name, Task: h.Task, Addr: t.Addr}, "runner started", "task " + h.Task + " runs", h.Name, ""})
	case t.State == stopped: // cancelled, or its lease has expired
		b.add(decision{fleet.Lost{Host: h.Name, Task: h.Task}, "start lost", "task " + h.Task + " has ended", h.Name, ""})
	case t.State == failed:
		b.add(decision{fleet.StartFailed{Host: h.Name, Task: h.Task, Spare: b.sparePool}, "start failed", "task " + h.Task + " is " + t.State, h.Name, ""})
	case b.now.Sub(h.Since) >= b.StartTimeout:
		b.add(decision{fleet.StartFailed{Host: h.Name, Task: h.Task, Spare: b.sparePool}, "start failed", fmt.Sprintf("task %s did not run within %s", h.Task, b.StartTimeout), h.Name, ""})
	}
}

// completeStop advances a host whose task has stopped. A host that goes to
// maintenance must be in the host list; otherwise its reboot cannot be detected.
func (b *batch) completeStop(h *fleet.Host) {
	e := fleet.Stopped{Host: h.Name, Task: h.Task, Spare: b.sparePool}
	if l := b.seen.workers[h.Name]; l != nil {
		e.Booted = l.Booted
	} else if h.Next == "" {
		return
	}
	b.add(decision{e, "runner stopped", "task " + h.Task + " has ended", h.Name, ""})
}

// planWaves applies the planner's actions and logs its findings.
func (b *batch) planWaves(t *text.Text, zones map[string]*fleet.Map) {
	all := maps.Clone(zones)
	if all == nil {
		all = make(map[string]*fleet.Map)
	}
	all[b.Self.Zone] = b.m
	for _, a := range wave.Plan(wave.Input{
		Now: b.now, Text: t, Zone: b.Self.Zone, Maps: all,
		Hosts: b.seen.hosts, Usage: b.seen.usage, ExhaustedBudgets: b.exhaustedBudgets(), Reported: b.reported,
	}) {
		if e := a.Event(); e != nil {
			b.add(decision{e, a.Kind.String(), a.Reason, a.Host, a.Pool})
			continue
		}
		b.reported[a.Subject] = a.Reason
		b.log("msg", a.Kind, "subject", a.Subject, "reason", a.Reason)
	}
}
