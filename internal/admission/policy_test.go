package admission_test

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

var epoch = time.Unix(0, 0)

// fair is the policy of this package: a Scheduler for each daemon and the
// division of the slots by the reports.
type fair struct {
	daemons []*daemon
}

type daemon struct {
	wake time.Time
	admission.Scheduler
	requests map[admission.ID]*request
	ids      map[*request]admission.ID
	demand   [][text.Classes]int // by daemon, as last heard
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

func (f *fair) refused(z *zone, q *request) {
	d := f.daemons[q.daemon]
	d.ids[q], _ = d.Requeue(epoch.Add(z.now), d.ids[q])
	d.requests[d.ids[q]] = q
	z.after(0, func() { f.dispatch(z, d) })
}

func (f *fair) report(z *zone, d int) [text.Classes]int {
	return f.daemons[d].Demand(epoch.Add(z.now))
}

func (f *fair) reported(z *zone, to, from int, demand [text.Classes]int) {
	f.daemons[to].demand[from] = demand
	f.divide(z.slots(), to)
	f.dispatch(z, f.daemons[to])
}

// divide sets the slots of daemon i from the reports that have arrived.
func (f *fair) divide(slots, i int) {
	d := f.daemons[i]
	d.Slots = admission.DivideSlots(nil, slots, shares, d.demand)[i]
}

// fifos is a baseline: queues without deadlines that share nothing. A request
// whose deadline has passed is dropped at the head.
type fifos struct {
	queue  func(q *request) int
	waits  map[int][]*request
	slots  map[int]int
	inUse  map[int]int
	limits int
}

// newSingle returns one queue for all classes and daemons of the pool.
func newSingle(s shape) policy {
	return &fifos{
		queue: func(*request) int { return 0 },
		waits: map[int][]*request{}, slots: map[int]int{0: s.slots()}, inUse: map[int]int{}, limits: 1024,
	}
}

// newFixed returns a fixed part of the slots for each class and daemon.
func newFixed(s shape) policy {
	f := &fifos{
		queue: func(q *request) int { return q.daemon*text.Classes + int(q.class) },
		waits: map[int][]*request{}, slots: map[int]int{}, inUse: map[int]int{}, limits: 1024,
	}
	for d, part := range s.traffic {
		for c := range text.Class(text.Classes) {
			f.slots[d*text.Classes+int(c)] = max(1, int(guaranteed(s.slots(), c)*part+0.5))
		}
	}
	return f
}

func (f *fifos) arrive(z *zone, q *request) {
	k := f.queue(q)
	q.tries = z.runners
	if len(f.waits[k]) >= f.limits {
		q.state = early
		return
	}
	f.waits[k] = append(f.waits[k], q)
	f.dispatch(z, k)
}

func (f *fifos) dispatch(z *zone, k int) {
	for len(f.waits[k]) > 0 && f.inUse[k] < f.slots[k] {
		q := f.waits[k][0]
		f.waits[k] = f.waits[k][1:]
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
	f.inUse[f.queue(q)]--
	f.dispatch(z, f.queue(q))
}

func (f *fifos) cancel(*zone, *request)                      {}
func (f *fifos) report(*zone, int) [text.Classes]int         { return [text.Classes]int{} }
func (f *fifos) reported(*zone, int, int, [text.Classes]int) {}

// refused tries again until the deadline; the request keeps its slot.
func (f *fifos) refused(z *zone, q *request) {
	z.after(5*time.Millisecond, func() {
		if q.state == cancelled || z.now >= q.deadline {
			q.state = max(q.state, dropped)
			f.done(z, q)
			return
		}
		z.start(q)
	})
}
