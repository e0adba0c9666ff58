package sched

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// paceGap is between two changes of a pace. The load that a runner reports
	// is that of the last half second, after the change has had effect.
	paceGap = 700 * time.Millisecond
	// easyShare of its target is the tail latency below which a serving task
	// leaves room for more work of the tasks that fill.
	easyShare = 0.7
	// tightShare of its target is the tail latency from which fillers are
	// slowed down, since the figure is rough.
	tightShare = 0.9
	// paceStep is by how many percent a filler is let work more.
	paceStep = 15
	// paceFloor is the percentage below which a filler is halted.
	paceFloor = 10
)

// pacing of the fillers on a runner.
type pacing int

const (
	steady pacing = iota
	slower
	faster
)

// pace slows down the fillers beside serving tasks that miss their target, and
// lets them work again when there is room.
func (s *State) pace(now clock.BootTime) {
	for _, n := range s.nodes {
		if n.silent || !n.contacted {
			continue
		}
		p := n.pacing()
		for _, r := range n.runs {
			if r.task.step.spec.BestEffort && r.phase == running && now.Sub(r.paced) > paceGap {
				s.paceRun(r, p, now)
			}
		}
	}
}

// pacing tells what the serving tasks on a runner need.
func (n *node) pacing() pacing {
	p := faster
	for _, r := range n.runs {
		target := r.task.step.spec.TargetLatency
		if target == 0 || r.phase != running {
			continue
		}
		tail := time.Duration(r.load) * time.Millisecond
		switch {
		case float64(tail) > tightShare*float64(target):
			return slower
		case float64(tail) > easyShare*float64(target):
			p = steady
		}
	}
	return p
}

func (s *State) paceRun(r *run, p pacing, now clock.BootTime) {
	want := r.pace
	switch p {
	case slower:
		if want /= 2; want < paceFloor {
			want = 0
		}
	case faster:
		want = min(want+paceStep, 100)
	case steady:
	}
	if want == r.pace {
		return
	}
	s.Logger.Log("msg", "filler is paced", "task", r.task.name, "runner", r.node.ID, "from", r.pace, "to", want)
	r.pace, r.paced = want, now
	s.orders = append(s.orders, Command{
		Kind: ThrottleRun, To: r.node.target(),
		Task: r.task.name, Attempt: r.attempt, Percent: want,
	})
}
