package admission_test

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

var epoch = time.Unix(0, 0)

// fair is the policy that this package implements: a Scheduler for each daemon,
// with the slots divided by the load reports.
type fair struct {
	daemons []*daemon
}

type daemon struct {
	wake time.Time
	admission.Scheduler
	requests map[admission.ID]*request
	ids      map[*request]admission.ID
	demand   [][text.Classes]int // last received report, by daemon
}

func newFair(s shape) policy {
	f := &fair{}
	for range s.traffic {
		d := &daemon{
			requests: map[admission.ID]*request{}, ids: map[*request]admission.ID{},
			demand: make([][text.Classes]int, len(s.traffic)),
		}
		d.Shares = shares
		d.ZoneSlots = s.slots()
		d.DeclaredRunTime = seconds(s.declared * runMean[text.Normal].Seconds())
		f.daemons = append(f.daemons, d)
	}
	for i := range f.daemons {
		f.divide(s.slots(), i)
	}
	return f
}

func (f *fair) arrive(z *zone, q *request) {
	d := f.daemons[q.daemon]
	id, dec := d.Arrive(epoch.Add(z.now), q.class, epoch.Add(q.deadline))
	switch dec.Verdict {
	case admission.Reject:
		q.state = early
		return
	case admission.Run:
		d.ids[q], q.tries = id, 2
		z.start(q)
	default:
		d.ids[q], d.requests[id] = id, q
		f.dispatch(z, d)
	}
}

func (f *fair) dispatch(z *zone, d *daemon) {
	for {
		id, _, dec, ok := d.Next(epoch.Add(z.now))
		if !ok {
			break
		}
		q := d.requests[id]
		delete(d.requests, id)
		if dec.Verdict == admission.Run {
			q.tries = 2
			if dec.Reason == admission.Spare {
				q.tries = 1
			}
			z.start(q)
			continue
		}
		delete(d.ids, q)
		q.state = dropped
	}
	if w := d.NextWake(); !w.IsZero() && w != d.wake {
		d.wake = w
		z.after(max(0, w.Sub(epoch)-z.now), func() { f.dispatch(z, d) })
	}
}

func (f *fair) done(z *zone, q *request) {
	d := f.daemons[q.daemon]
	d.Done(epoch.Add(z.now), d.ids[q])
	delete(d.ids, q)
	f.dispatch(z, d)
}

func (f *fair) cancel(z *zone, q *request) {
	d := f.daemons[q.daemon]
	delete(d.requests, d.ids[q])
	d.Abandon(d.ids[q])
	delete(d.ids, q)
	f.dispatch(z, d)
}

func (f *fair) requeue(z *zone, q *request) {
	d := f.daemons[q.daemon]
	d.ids[q], _ = d.Requeue(epoch.Add(z.now), d.ids[q])
	d.requests[d.ids[q]] = q
	z.after(0, func() { f.dispatch(z, d) })
}

func (f *fair) loadReport(z *zone, d int) [text.Classes]int {
	return f.daemons[d].Demand(epoch.Add(z.now))
}

func (f *fair) receiveReport(z *zone, to, from int, demand [text.Classes]int) {
	f.daemons[to].demand[from] = demand
	f.divide(z.slots(), to)
	f.dispatch(z, f.daemons[to])
}

// divide sets the slots of daemon i from the reports that it has received.
func (f *fair) divide(slots, i int) {
	d := f.daemons[i]
	d.Slots = admission.DivideSlots(nil, slots, shares, d.demand)[i]
}

// fifos is a baseline: independent FIFO queues that ignore deadlines, except that
// a request whose deadline has passed is dropped at the head.
type fifos struct {
	queueOf    func(q *request) int
	queues     map[int][]*request
	slots      map[int]int
	inUse      map[int]int
	queueLimit int
}

// newSingle returns a policy with one queue for all classes and daemons of the
// pool.
func newSingle(s shape) policy {
	return &fifos{
		queueOf: func(*request) int { return 0 },
		queues:  map[int][]*request{}, slots: map[int]int{0: s.slots()}, inUse: map[int]int{}, queueLimit: 1024,
	}
}

// newFixed returns a policy with a queue and a fixed number of slots for each
// class and daemon.
func newFixed(s shape) policy {
	f := &fifos{
		queueOf: func(q *request) int { return q.daemon*text.Classes + int(q.class) },
		queues:  map[int][]*request{}, slots: map[int]int{}, inUse: map[int]int{}, queueLimit: 1024,
	}
	for d, part := range s.traffic {
		for c := range text.Class(text.Classes) {
			f.slots[d*text.Classes+int(c)] = max(1, int(guaranteed(s.slots(), c)*part+0.5))
		}
	}
	return f
}

func (f *fifos) arrive(z *zone, q *request) {
	k := f.queueOf(q)
	q.tries = z.runners
	if len(f.queues[k]) >= f.queueLimit {
		q.state = early
		return
	}
	f.queues[k] = append(f.queues[k], q)
	f.dispatch(z, k)
}

func (f *fifos) dispatch(z *zone, k int) {
	for len(f.queues[k]) > 0 && f.inUse[k] < f.slots[k] {
		q := f.queues[k][0]
		f.queues[k] = f.queues[k][1:]
		switch {
		case q.state == cancelled:
		case z.now >= q.deadline:
			q.state = dropped
		default:
			f.inUse[k]++
			z.start(q)
		}
	}
}

func (f *fifos) done(z *zone, q *request) {
	f.inUse[f.queueOf(q)]--
	f.dispatch(z, f.queueOf(q))
}

func (f *fifos) cancel(*zone, *request)                           {}
func (f *fifos) loadReport(*zone, int) [text.Classes]int          { return [text.Classes]int{} }
func (f *fifos) receiveReport(*zone, int, int, [text.Classes]int) {}

// requeue retries every 5 ms until the deadline; the request keeps its slot.
func (f *fifos) requeue(z *zone, q *request) {
	z.after(5*time.Millisecond, func() {
		if q.state == cancelled || z.now >= q.deadline {
			q.state = max(q.state, dropped)
			f.done(z, q)
			return
		}
		z.start(q)
	})
}
