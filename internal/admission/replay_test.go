package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// outcome is the state of a request in a replay, at its end the outcome.
type outcome uint8

const (
	pending outcome = iota
	started
	answered
	early   // rejected on arrival
	dropped // rejected after it was queued or requeued
	cancelled
)

// Load reports are sent every 100 ms, arrive 100 ms later, and 1 in 20 is lost.
const (
	reportInterval = 100 * time.Millisecond
	reportDelay    = 100 * time.Millisecond
	reportLoss     = 0.05
	busyRetryDelay = 20 * time.Millisecond // a runner that rejected a request is treated as full for this time
)

// policy is an admission policy under test. It calls zone.start to run a request.
type policy interface {
	arrive(z *zone, q *request)
	done(z *zone, q *request)
	cancel(z *zone, q *request)  // q has not been started
	requeue(z *zone, q *request) // q was started and all runners rejected it
	loadReport(z *zone, d int) [text.Classes]int
	receiveReport(z *zone, to, from int, demand [text.Classes]int)
}

// zone simulates the daemons and the runners of a pool in one zone.
type zone struct {
	shape
	policy    policy
	now       time.Duration
	events    events
	seq       int
	busy      []int   // requests on each runner
	own       [][]int // by daemon and runner
	received  [][]int // by receiving daemon and runner: sum of the last reports of other daemons
	last      [][][]int
	fullUntil [][]time.Duration // by daemon and runner: end of the busyRetryDelay
	rand      *rand.Rand
	running   [text.Classes]int
	unserved  [text.Classes]int // requests neither served, cancelled nor late, including rejected ones
	result
}

// result holds the measurements of one replay.
type result struct {
	rejections, runs, late int
	// Slot time, in seconds, above the share of a surging class: used by the
	// class, and available to it while it had unserved requests.
	lent, usable [text.Classes]float64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// replay runs a trace to its end and returns the measurements.
func replay(s shape, p policy, reqs []request) result {
	n := len(s.traffic)
	z := &zone{shape: s, policy: p, busy: make([]int, s.runners), rand: rand.New(rand.NewPCG(s.seed, 99))}
	for range n {
		z.own = append(z.own, make([]int, s.runners))
		z.received = append(z.received, make([]int, s.runners))
		z.fullUntil = append(z.fullUntil, make([]time.Duration, s.runners))
		z.last = append(z.last, make([][]int, n))
	}
	for d := range n {
		z.after(reportInterval*time.Duration(d)/time.Duration(n), func() { z.sendReport(d) })
	}
	for i := range reqs {
		q := &reqs[i]
		z.run(q.at)
		z.unserved[q.class]++
		z.after(q.waitLimit(), func() { z.stopWaiting(q) })
		p.arrive(z, q)
		if q.cancel > 0 {
			z.after(q.cancel-z.now, func() { z.cancel(q) })
		}
	}
	z.run(traceTime + time.Hour) // until all work has ended
	return z.result
}

func (z *zone) after(d time.Duration, do func()) {
	z.seq++
	heap.Push(&z.events, event{z.now + d, z.seq, do})
}

// run handles all events up to the given time.
func (z *zone) run(to time.Duration) {
	for len(z.events) > 0 && z.events[0].at <= to {
		e := heap.Pop(&z.events).(event)
		z.advance(e.at)
		e.do()
	}
	z.advance(to)
}

// advance moves the clock and integrates the use of lent slots.
func (z *zone) advance(to time.Duration) {
	dt := (to - z.now).Seconds()
	for _, g := range surges {
		if z.now < g.at || z.now >= g.at+surgeTime {
			continue
		}
		all := z.slots()
		others := -z.running[g.class]
		for _, n := range z.running {
			others += n
		}
		own := guaranteed(z.slots(), g.class)
		work := min(all-others, z.running[g.class]+z.unserved[g.class])
		z.usable[g.class] += dt * max(0, float64(work)-own)
		z.lent[g.class] += dt * max(0, float64(z.running[g.class])-own)
	}
	z.now = to
}

// guaranteed returns the slots of a class if all classes compete for slots.
func guaranteed(slots int, c text.Class) float64 {
	sum := 0
	for _, w := range shares {
		sum += w
	}
	return float64(slots*shares[c]) / float64(sum)
}

// start sends an admitted request to the runner with the lowest known load. If
// that one rejects it, start tries the next one, up to the number of tries that
// the policy allows.
func (z *zone) start(q *request) {
	q.state = started
	loads := make([]int, z.runners)
	for r := range loads {
		loads[r] = z.own[q.daemon][r] + z.received[q.daemon][r]
		if z.fullUntil[q.daemon][r] > z.now {
			loads[r] = 1000 + int((z.fullUntil[q.daemon][r]-z.now)/time.Microsecond)
		}
	}
	for range min(q.tries, z.runners) {
		least := z.rand.IntN(z.runners)
		for r := range loads {
			if loads[r] < loads[least] {
				least = r
			}
		}
		if z.busy[least] < slotsPerRunner {
			z.serve(q, least)
			return
		}
		z.rejections++
		loads[least] = 1 << 30
		z.fullUntil[q.daemon][least] = z.now + busyRetryDelay
	}
	q.state = pending
	z.policy.requeue(z, q)
}

// serve runs the request on runner r.
func (z *zone) serve(q *request, r int) {
	z.runs++
	z.busy[r]++
	z.own[q.daemon][r]++
	z.running[q.class]++
	z.stopWaiting(q)
	z.after(q.run, func() {
		z.busy[r]--
		z.own[q.daemon][r]--
		z.fullUntil[q.daemon][r] = 0
		z.running[q.class]--
		q.state, q.done = answered, z.now
		if z.now > q.deadline {
			z.late++
		}
		z.policy.done(z, q)
	})
}

// stopWaiting removes a request from the unserved ones.
func (z *zone) stopWaiting(q *request) {
	if !q.waitEnded {
		q.waitEnded = true
		z.unserved[q.class]--
	}
}

func (z *zone) cancel(q *request) {
	if q.state == pending {
		q.state = cancelled
		z.policy.cancel(z, q)
	}
}

// sendReport reports the load of daemon d to all daemons, then schedules the next
// report.
func (z *zone) sendReport(d int) {
	if z.now > traceTime {
		return
	}
	demand, counts := z.policy.loadReport(z, d), append([]int(nil), z.own[d]...)
	for to := range z.own {
		if to != d && z.rand.Float64() < reportLoss {
			continue
		}
		z.after(reportDelay, func() { z.deliverReport(to, d, counts, demand) })
	}
	z.after(reportInterval, func() { z.sendReport(d) })
}

// deliverReport delivers the report of one daemon to another.
func (z *zone) deliverReport(to, from int, counts []int, demand [text.Classes]int) {
	for r, n := range counts {
		if to == from {
			break
		}
		if old := z.last[to][from]; old != nil {
			n -= old[r]
		}
		z.received[to][r] += n
	}
	z.last[to][from] = counts
	z.policy.receiveReport(z, to, from, demand)
}
