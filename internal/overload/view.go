package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rank is the order in which a pool starts timely jobs without long-running tasks. Late
// ones come after the timely ones of their urgency.
type Rank struct {
	Beyond   bool // beyond the share of its workspace
	Priority int  // of its queue; 0 is the highest
	Size     int  // as returned by Size, of the remaining work
}

// Compare returns a negative number if timely work of rank r is started before that of o.
func (r Rank) Compare(o Rank) int { return cmp.Or(r.compareUrgency(o), cmp.Compare(r.Size, o.Size)) }

// compareUrgency is like Compare, apart from the size.
func (r Rank) compareUrgency(o Rank) int {
	switch {
	case r.Beyond == o.Beyond:
		return cmp.Compare(r.Priority, o.Priority)
	case o.Beyond:
		return -1
	}
	return 1
}

// Size returns the size of work in core-seconds, on a scale on which it doubles from
// every other number to the next.
func Size(work float64) int {
	return int(math.Round(2 * math.Log2(min(max(work, 1.0/64), 1<<20))))
}

// View is the load of the pools at one time.
type View struct {
	Term int64 `cbor:"1,keyasint"` // of the leader that computed it
	// Age is the time from the computation to the reply that carries the view.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Pools are those in which jobs wait, ordered by name.
	Pools []Pool `cbor:"3,keyasint,omitempty"`
	// Beyond are workspaces that have sent more than their share, ordered by name.
	Beyond []string `cbor:"4,keyasint,omitempty"`
}

// Pool is the load of one pool. Cores are those that jobs without long-running tasks
// can use, and work is in core-seconds.
type Pool struct {
	Name     string    `cbor:"1,keyasint"`
	Cores    float64   `cbor:"2,keyasint,omitempty"` // that a full pool uses on average
	Idle     float64   `cbor:"3,keyasint,omitempty"` // free cores outside of gaps, less those that waiting tasks will take
	Arriving []Arrival `cbor:"4,keyasint,omitempty"` // machines on their way, the earliest first
	Classes  []Class   `cbor:"5,keyasint,omitempty"` // ordered by rank
	Ready    float64   `cbor:"6,keyasint,omitempty"` // work of the tasks that wait for nothing but capacity
	// Peak is the highest rate at which work arrived in the last PeakTime.
	Peak float64 `cbor:"7,keyasint,omitempty"`
	Gaps []Gap   `cbor:"8,keyasint,omitempty"`
}

// PeakTime is how long the peak of the arrivals counts. Once daemons reject jobs, the
// arrivals at the leader do not show the surge any more, of which rejected callers return
// for longer than 10 s.
const PeakTime = 20 * time.Second

// Arrival is capacity that a pool gets.
type Arrival struct {
	Cores float64       `cbor:"1,keyasint"`
	After time.Duration `cbor:"2,keyasint,omitempty"` // from the computation of the view
}

// Class is the waiting work of one rank, which is that of the tasks without a run.
// Work that no caller waits for any more is left out, since it is started last.
type Class struct {
	Beyond   bool    `cbor:"1,keyasint,omitempty"`
	Priority int     `cbor:"2,keyasint,omitempty"`
	Timely   float64 `cbor:"4,keyasint,omitempty"` // work of jobs that can meet their objective
	Late     float64 `cbor:"5,keyasint,omitempty"` // work of the others
	// Left is the shortest time in which a waiting job must be started so that it is
	// completed before it loses its value; zero: no job waits.
	Left time.Duration `cbor:"6,keyasint,omitempty"`
	Rate float64       `cbor:"7,keyasint,omitempty"` // work that arrives per second, of all daemons
	Size int           `cbor:"8,keyasint,omitempty"` // as in Rank
}

// Rank returns the rank of the class.
func (c *Class) Rank() Rank { return Rank{Beyond: c.Beyond, Priority: c.Priority, Size: c.Size} }

// Waiting is the part of an open job that waits in a pool.
type Waiting struct {
	Rank  Rank
	Cores float64 // of the tasks that wait for nothing but capacity
	Ready float64 // work of these tasks
	Work  float64 // of the tasks without a run
	Late  bool    // the job cannot meet its objective
	// Left is the time in which it must be started so that it is completed before it
	// loses its value; zero: not limited, or something else than capacity delays it.
	Left time.Duration
}

// Add adds the waiting part of a job. Idle becomes negative if more cores are needed than
// are free.
func (p *Pool) Add(w Waiting) {
	c := p.class(w.Rank)
	p.Ready += w.Ready
	p.Idle -= w.Cores
	if w.Late {
		c.Late += w.Work
	} else {
		c.Timely += w.Work
	}
	if w.Left > 0 && (c.Left == 0 || w.Left < c.Left) {
		c.Left = w.Left
	}
}

// SetRate sets the rate at which work of a rank arrives.
func (p *Pool) SetRate(r Rank, rate float64) { p.class(r).Rate = rate }

// Waits reports whether work waits in the pool.
func (p *Pool) Waits() bool {
	return slices.ContainsFunc(p.Classes, func(c Class) bool { return c.Timely+c.Late > 0 })
}

func (p *Pool) class(r Rank) *Class {
	i, ok := slices.BinarySearchFunc(p.Classes, r, func(c Class, r Rank) int { return c.Rank().Compare(r) })
	if !ok {
		p.Classes = slices.Insert(p.Classes, i, Class{Beyond: r.Beyond, Priority: r.Priority, Size: r.Size})
	}
	return &p.Classes[i]
}

// pool returns a pool by its name, or nil.
func (v *View) pool(name string) *Pool {
	i := slices.IndexFunc(v.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return nil
	}
	return &v.Pools[i]
}

// never is the time in which a pool does work that it never gets to.
const never = time.Hour

// clears returns the time from now in which the pool does the given work while work
// of higher rank takes the given cores; age is that of the view.
func (p *Pool) clears(work, taken float64, age time.Duration) time.Duration {
	at, rate := 0.0, p.Cores-taken
	for _, a := range p.Arriving {
		in := max(a.After-age, 0).Seconds()
		if rate > 0 && work <= rate*(in-at) {
			break
		}
		work -= max(rate, 0) * (in - at)
		at, rate = in, rate+a.Cores
	}
	if rate <= 0 || at+work/rate > never.Seconds() {
		return never
	}
	return time.Duration((at + work/rate) * float64(time.Second))
}

// room returns the work that the pool can do from now until the given time, beside work
// that arrives at the given rate and is started first; age is that of the view. Machines
// on their way count from their arrival.
func (p *Pool) room(until time.Duration, taken float64, age time.Duration) float64 {
	work := (p.Cores - taken) * until.Seconds()
	for _, a := range p.Arriving {
		work += a.Cores * max(until-max(a.After-age, 0), 0).Seconds()
	}
	return work
}
