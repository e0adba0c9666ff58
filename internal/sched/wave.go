package sched

import (
	"math"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// upkeepPhase is how far a machine has come in its wave.
type upkeepPhase int

const (
	waiting  upkeepPhase = iota
	draining             // its runner gets no new runs
	ordered              // the order has been sent, or may have been
	down                 // the order was accepted
	back                 // it is up again, or has left
)

// upkeep is one machine of a wave.
type upkeep struct {
	id     machine.ID
	wave   *wave
	phase  upkeepPhase
	since  clock.BootTime
	runner runner.ID // when the order was sent
	life   runner.Incarnation
	after  clock.BootTime // not ordered before this
	sent   bool           // an order is on its way
}

// wave is a wave that is not completed, or whose completion is not stored.
type wave struct {
	machine.Wave
	upkeeps   []*upkeep
	due       clock.BootTime
	completed bool
	shown     string // status that the store has
}

const (
	// backTime is how much longer than the platform says a machine may take to
	// come back before it is taken as lost.
	backTime = 5 * time.Second
	// offTime is the same for a machine that had no runner.
	offTime = 500 * time.Millisecond
	// drainTime is how long a machine may wait for its runs to end before they
	// are stopped, if the wave is pressed for time.
	drainTime = 4 * time.Second
	// serviceShare is the divisor of the part of a service's runners that a
	// wave may take at once while it is in time.
	serviceShare = 3
	// waveReserve of a wave's time is kept for machines that take long to drain
	// and for a change of the leader.
	waveReserve = 8 * time.Second
	// machineRetry follows an order to a machine that was refused.
	machineRetry = 300 * time.Millisecond
)

// SetWave takes a wave that operators ask for.
func (s *State) SetWave(w machine.Wave, completed bool, now clock.BootTime) {
	if s.waves[w.Number] != nil {
		return
	}
	x := &wave{Wave: w, due: now.Add(w.Within), completed: completed}
	if completed {
		// Its machines are free for other work.
		x.shown = statusCompleted
	} else {
		for _, id := range w.Machines {
			x.upkeeps = append(x.upkeeps, s.newUpkeep(x, id, now))
		}
	}
	s.waves[w.Number] = x
	s.Logger.Log("msg", "wave is asked for", "wave", w.Number, "machines", len(w.Machines), "cap", w.MaxUnavailable, "within", w.Within, "completed", completed)
}

// newUpkeep returns a machine of a wave as earlier terms have left it: it may
// be down, or an order may be on its way.
func (s *State) newUpkeep(w *wave, id machine.ID, now clock.BootTime) *upkeep {
	u := &upkeep{id: id, wave: w}
	switch in, ok := s.intents[id]; {
	case ok && in.AcceptedWave >= w.Number:
		// The store may still list the runner that the upkeep has ended, so only
		// time or the list of machines tells that the machine is back.
		u.phase, u.since, u.life = down, now, math.MaxInt64
	case ok && in.Term != 0 && in.PendingWave == w.Number:
		u.phase, u.since = ordered, now
		if n := s.onMachine(id); n != nil {
			u.runner, u.life = n.ID, n.Incarnation
		}
	}
	return u
}

const (
	statusRunning   = "running"
	statusCompleted = "completed"
)

// WaveStatus is a state of a wave that the store does not show yet.
type WaveStatus struct {
	Number    int
	Completed bool
}

// WaveStatuses returns what the store must show.
func (s *State) WaveStatuses() []WaveStatus {
	var sts []WaveStatus
	for _, w := range s.waves {
		want := statusRunning
		if w.completed {
			want = statusCompleted
		}
		if w.shown != want {
			sts = append(sts, WaveStatus{Number: w.Number, Completed: w.completed})
		}
	}
	return sts
}

// WaveStatusStored takes that the store shows the state of a wave.
func (s *State) WaveStatusStored(st WaveStatus) {
	if w := s.waves[st.Number]; w != nil {
		w.shown = statusRunning
		if st.Completed {
			w.shown = statusCompleted
		}
	}
}

// onMachine returns the newest runner of a machine, or nil.
func (s *State) onMachine(id machine.ID) *node {
	n := s.byMachine[id]
	if n != nil && s.nodes[n.ID] != n {
		delete(s.byMachine, id)
		return nil
	}
	return n
}

// planWaves drains machines of the waves and orders their upkeep.
func (s *State) planWaves(now clock.BootTime) {
	for _, n := range s.nodes {
		n.cordoned = false
		if n.Draining && n.contacted && !n.silent {
			s.evacuate(n, now)
		}
	}
	numbers := make([]int, 0, len(s.waves))
	for n, w := range s.waves {
		if !w.completed {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		s.planWave(s.waves[n], now)
	}
}

func (s *State) planWave(w *wave, now clock.BootTime) {
	active, left := 0, 0
	for _, u := range w.upkeeps {
		if n := s.onMachine(u.id); n != nil && u.phase != waiting && u.phase != back {
			n.cordoned = true
		}
		s.advance(u, now)
		if u.phase != waiting && u.phase != back {
			active++
		}
		if u.phase != back {
			left++
		}
	}
	if left == 0 {
		w.completed = true
		s.changed = true
		s.Logger.Log("msg", "wave is completed", "wave", w.Number, "left", w.due.Sub(now))
		return
	}
	most := w.MaxUnavailable
	if s.short {
		most = s.steady(w, now)
	}
	for ; active < most; active++ {
		u := s.nextUpkeep(w, now)
		if u == nil {
			return
		}
		u.phase, u.since = draining, now
		if n := s.onMachine(u.id); n != nil {
			n.cordoned = true
			s.Logger.Log("msg", "machine is drained", "machine", u.id, "wave", w.Number, "runner", n.ID, "service", n.Service,
				"runs", len(n.runs), "active", active, "left", w.due.Sub(now))
		}
	}
}

// steady is how many machines must be down at a time for a wave to be in time,
// with a reserve. A wave takes no more while pools lack machines.
func (s *State) steady(w *wave, now clock.BootTime) int {
	left := 0
	for _, u := range w.upkeeps {
		if u.phase != back {
			left++
		}
	}
	turn := s.Limits.MaintenanceTime + drainTime/2
	rest := w.due.Sub(now) - waveReserve
	if rest <= turn {
		return w.MaxUnavailable
	}
	return min(w.MaxUnavailable, int(math.Ceil(float64(left)*float64(turn)/float64(rest))))
}

// nextUpkeep chooses the machine whose absence costs least now, or nil.
func (s *State) nextUpkeep(w *wave, now clock.BootTime) *upkeep {
	taken, all := make(map[string]int), make(map[string]int)
	for _, n := range s.nodes {
		all[n.Service]++
		if n.cordoned || !n.contacted || n.silent {
			taken[n.Service]++
		}
	}
	var best *upkeep
	var bestCost [2]int
	for _, u := range w.upkeeps {
		if u.phase != waiting || u.after.After(now) || (s.hosts[u.id] != nil && s.hosts[u.id].to != "") {
			continue
		}
		cost := [2]int{}
		if n := s.onMachine(u.id); n != nil {
			if taken[n.Service]*serviceShare >= all[n.Service] && !s.pressed(w, now) {
				continue
			}
			for _, r := range n.runs {
				if r.task.step.spec.LongRunning {
					cost[0]++
				}
			}
			cost[1] = n.used.CPU
			cost[0] = cost[0] * 4000 // a lasting task costs a restart elsewhere
			cost[0] += cost[1]
		}
		if best == nil || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = u, cost
		}
	}
	return best
}

// pressed tells whether a wave must take machines at any cost to be in time.
func (s *State) pressed(w *wave, now clock.BootTime) bool {
	left := 0
	for _, u := range w.upkeeps {
		if u.phase == waiting {
			left++
		}
	}
	rounds := (left + w.MaxUnavailable - 1) / w.MaxUnavailable
	return w.due.Sub(now) < time.Duration(rounds+1)*(drainTime+s.Limits.MaintenanceTime)
}

// advance moves one machine on.
func (s *State) advance(u *upkeep, now clock.BootTime) {
	n := s.onMachine(u.id)
	switch u.phase {
	case waiting, back:
	case draining:
		if n != nil {
			s.evacuate(n, now)
			if len(n.runs) > 0 {
				if now.Sub(u.since) > drainTime && s.pressed(u.wave, now) {
					s.stopBatch(n)
				}
				return
			}
			if n.unsettled() {
				return // the ends are gone with the runner
			}
			u.runner, u.life = n.ID, n.Incarnation
		}
		s.orderUpkeep(u, now)
	case ordered:
		if !u.sent && !u.after.After(now) {
			s.orderUpkeep(u, now)
		}
	case down:
		if u.life == math.MaxInt64 && s.listedUp(u.id) {
			u.phase = back
		} else if n != nil && n.Incarnation > u.life {
			u.phase = back
			s.Logger.Log("msg", "machine is back", "machine", u.id, "wave", u.wave.Number, "runner", n.ID, "took", now.Sub(u.since))
		} else if u.runner == "" && now.Sub(u.since) > s.Limits.MaintenanceTime+offTime {
			u.phase = back
		} else if now.Sub(u.since) > s.Limits.MaintenanceTime+backTime {
			u.phase = back
			s.Logger.Log("msg", "machine has not come back", "machine", u.id, "wave", u.wave.Number)
		}
	}
}

// listedUp tells whether the machines' API has said in this term that a machine
// is up, with the runner that is known here.
func (s *State) listedUp(id machine.ID) bool {
	h, n := s.hosts[id], s.onMachine(id)
	return h != nil && h.State == machine.Up && (n == nil || n.ID == h.Runner)
}

// orderUpkeep orders the upkeep once the store holds the intent.
func (s *State) orderUpkeep(u *upkeep, now clock.BootTime) {
	if !s.intend(u.id, u.wave.Number, now) {
		return
	}
	if u.sent {
		return
	}
	u.phase, u.sent = ordered, true
	s.orders = append(s.orders, Command{Kind: MaintainMachine, Machine: u.id, Wave: u.wave.Number})
}
