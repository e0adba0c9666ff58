package sched

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
)

// modelList is a list of machines that reaches the leader later.
type modelList struct {
	leader   *modelLeader
	machines []machine.Machine
	sent     clock.BootTime
	missed   *modelRunner // it is up, and its page missed it
}

// addLists adds lists of machines and entries that lapse.
func (m *model) addLists(actions map[string]func(*rapid.T)) {
	actions["list"], actions["late list"], actions["lapse"] = m.listMachines, m.deliverList, m.lapse
}

// listMachines lists the runners that are up. The list may miss one of them, but not
// twice in a row.
func (m *model) listMachines(t *rapid.T) {
	l := m.leader()
	if l.stopped {
		return
	}
	list := &modelList{leader: l, sent: m.now}
	if rapid.IntRange(0, 3).Draw(t, "misses one") == 0 {
		list.missed = m.runner()
	}
	for _, old := range m.lists {
		if old.leader == l && old.missed == list.missed {
			list.missed = nil
		}
	}
	if l.missed == list.missed {
		list.missed = nil
	}
	list.machines = m.listed(list.missed)
	m.lists = append(m.lists, list)
}

// listed returns the runners that are up but one.
func (m *model) listed(missed *modelRunner) []machine.Machine {
	var ms []machine.Machine
	for _, r := range m.runners {
		if !r.down && r != missed {
			ms = append(ms, machine.Machine{ID: machine.ID("m-" + r.id), Runner: r.id})
		}
	}
	return ms
}

// deliverList lets the oldest list arrive.
func (m *model) deliverList(t *rapid.T) {
	if len(m.lists) == 0 {
		t.Skip("no lists on their way")
	}
	list := m.lists[0]
	m.lists = slices.Delete(m.lists, 0, 1)
	l, sent := list.leader, list.sent
	if m.weaken == "listed" {
		l, sent = m.newest(), m.now
	}
	if l.stopped {
		return
	}
	l.missed = list.missed
	l.s.RunnersListed(list.machines, sent, m.now)
	if m.weaken == "pages" {
		l.s.RunnersListed(list.machines, sent, m.now)
	}
}

// restart lets a runner crash and start again under its ID; a leader lists the
// machines twice in between.
func (m *model) restart(t *rapid.T) {
	r := m.runner()
	if !r.down {
		r.crash()
	}
	m.listMachines(t)
	m.listMachines(t)
	r.restart(m.now)
	m.entries[r] = r.entry()
	for _, l := range m.leaders {
		l.broken[r] = true
		if l.store && !l.stopped {
			l.s.SetRunner(m.entries[r], m.now)
		}
	}
}

// loseRunner cuts the newest leader off the store and a runner off the next one, and
// lets the entry of the runner lapse.
func (m *model) loseRunner(*rapid.T) {
	m.newest().store = false
	m.elect()
	r := m.runner()
	m.newest().reach[r] = false
	m.lapseOf(r)
}

// replaceLeader cuts the newest leader off the store while it starts tasks. A runner that
// the next one does not reach crashes, and starts again under its ID after two lists
// without it. Then the starts of the former leader arrive.
func (m *model) replaceLeader(t *rapid.T) {
	former, r := m.newest(), m.runner()
	m.planOf(former)
	former.store = false
	m.elect()
	l := m.newest()
	l.reach[r] = false
	r.crash()
	m.lapseOf(r)
	for range 2 {
		m.pass(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		l.s.RunnersListed(m.listed(nil), m.now, m.now)
	}
	m.roundOf(l)
	r.restart(m.now)
	m.stopOverdue(former)
	for range len(former.commands) {
		m.deliverOf(former, "answered")
	}
}

// lapse removes the entry of a runner, which may be up, until it is written again.
func (m *model) lapse(*rapid.T) { m.lapseOf(m.runner()) }

func (m *model) lapseOf(r *modelRunner) {
	for _, l := range m.leaders {
		if l.store && !l.stopped {
			l.s.DeregisterRunner(m.entries[r].ID, m.now)
		}
	}
}
