package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// model is a Scheduler under random events, with the expected set of running and
// queued requests.
type model struct {
	admission.Scheduler
	now     time.Time
	running map[admission.ID]text.Class
	queued  map[admission.ID]text.Class
}

func drawClass(t *rapid.T) text.Class {
	return text.Class(rapid.IntRange(0, text.Classes-1).Draw(t, "class"))
}

// drawID draws one of the IDs. It returns false if there is none.
func drawID(t *rapid.T, ids map[admission.ID]text.Class) (admission.ID, bool) {
	if len(ids) == 0 {
		return admission.ID{}, false
	}
	all := make([]admission.ID, 0, len(ids))
	for id := range ids {
		all = append(all, id)
	}
	slices.SortFunc(all, admission.CompareID)
	return rapid.SampledFrom(all).Draw(t, "id"), true
}

func (m *model) arrive(t *rapid.T) {
	c := drawClass(t)
	var deadline time.Time
	if rapid.Bool().Draw(t, "bounded") {
		deadline = m.now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "ms")) * time.Millisecond)
	}
	waiting := 0
	for _, o := range m.queued {
		if o == c {
			waiting++
		}
	}
	free := len(m.queued) == 0 && len(m.running) < m.Slots
	id, d := m.Arrive(m.now, c, deadline)
	switch d.Verdict {
	case admission.Run:
		if !free {
			t.Fatal("new request runs although requests are queued or all slots are in use")
		}
		m.add(t, m.running, id, c)
	case admission.Wait:
		m.add(t, m.queued, id, c)
	case admission.Reject:
		if full := waiting >= m.QueueLimit; d.Reason == admission.Full && !full || deadline.IsZero() && !full {
			t.Fatalf("decision %v with %d of %d queued requests", d, waiting, m.QueueLimit)
		}
		if d.RetryAfter.Before(m.now) {
			t.Fatalf("RetryAfter is %v in the past", m.now.Sub(d.RetryAfter))
		}
	}
	m.dispatch(t)
}

func (m *model) add(t *rapid.T, ids map[admission.ID]text.Class, id admission.ID, c text.Class) {
	if _, ok := m.running[id]; ok {
		t.Fatal("new request got the ID of a running request")
	}
	if _, ok := m.queued[id]; ok {
		t.Fatal("new request got the ID of a queued request")
	}
	ids[id] = c
}

// dispatch handles all decisions that are due.
func (m *model) dispatch(t *rapid.T) {
	for {
		before := len(m.running)
		id, c, d, ok := m.Next(m.now)
		if !ok {
			return
		}
		if got, ok := m.queued[id]; !ok || got != c {
			t.Fatal("Next decided on a request that is not queued")
		}
		delete(m.queued, id)
		if d.Verdict != admission.Run {
			continue
		}
		if before >= max(m.Slots, m.ZoneSlots) {
			t.Fatalf("%d requests are running with %d slots, %d in the zone", before+1, m.Slots, m.ZoneSlots)
		}
		m.running[id] = c
	}
}

func (m *model) done(t *rapid.T) {
	if id, ok := drawID(t, m.running); ok {
		if !m.Done(m.now, id) || m.Done(m.now, id) || m.Abandon(id) {
			t.Fatal("a request must end exactly once")
		}
		delete(m.running, id)
		m.dispatch(t)
	}
}

func (m *model) abandon(t *rapid.T) {
	ids := m.queued
	if rapid.Bool().Draw(t, "running") {
		ids = m.running
	}
	if id, ok := drawID(t, ids); ok {
		if !m.Abandon(id) || m.Abandon(id) || m.Done(m.now, id) {
			t.Fatal("a request must end exactly once")
		}
		delete(ids, id)
		m.dispatch(t)
	}
}

func (m *model) requeue(t *rapid.T) {
	if old, ok := drawID(t, m.running); ok {
		c := m.running[old]
		id, ok := m.Requeue(m.now, old)
		if !ok || m.Done(m.now, old) {
			t.Fatal("Requeue must replace the ID of a running request")
		}
		delete(m.running, old)
		m.add(t, m.queued, id, c)
		m.dispatch(t)
	}
}

func (m *model) check(t *rapid.T) {
	var want [text.Classes]int
	for _, ids := range []map[admission.ID]text.Class{m.running, m.queued} {
		for _, c := range ids {
			want[c]++
		}
	}
	if got := m.Demand(m.now.Add(time.Hour)); got != want { // rejected requests no longer count as demand
		t.Fatalf("demand after one hour is %v, want %v", got, want)
	}
	if w := m.NextWake(); len(m.queued) > 0 && len(m.running) < m.Slots && w.Before(m.now) {
		t.Fatal("a slot is free and requests are queued, but NextWake is in the past")
	}
}

// Guards against more running requests than slots, against requests that end
// twice or never, and against queue positions that remain after a cancellation,
// a requeue or a rejection.
func TestSchedulerEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			Scheduler: admission.Scheduler{Slots: 2, QueueLimit: 4},
			now:       epoch,
			running:   map[admission.ID]text.Class{},
			queued:    map[admission.ID]text.Class{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive2": m.arrive, "done": m.done, "abandon": m.abandon, "refused": m.requeue,
			"slots": func(t *rapid.T) {
				m.Slots = rapid.IntRange(0, 4).Draw(t, "slots")
				m.ZoneSlots = rapid.IntRange(0, 6).Draw(t, "zone")
				m.dispatch(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				m.dispatch(t)
			},
			"": m.check,
		})
	})
}

// Guards against queued requests that start too late to complete by their
// deadline, and against a retry time at which the queue is still too long.
func TestSchedulerRejectsLate(t *testing.T) {
	s := admission.Scheduler{Slots: 1, DeclaredRunTime: time.Second}
	first, _ := s.Arrive(epoch, text.Normal, time.Time{})
	if _, d := s.Arrive(epoch, text.Normal, epoch.Add(4*time.Second)); d.Verdict != admission.Wait {
		t.Fatalf("predicted start after 1 s, latest start after 3 s: got %v, want Wait", d)
	}
	want := admission.Decision{Verdict: admission.Reject, Reason: admission.Late, RetryAfter: epoch.Add(500 * time.Millisecond)}
	if _, d := s.Arrive(epoch, text.Normal, epoch.Add(2500*time.Millisecond)); d != want {
		t.Fatalf("predicted start after 2 s, latest start after 1.5 s: got %v, want %v", d, want)
	}
	now := epoch.Add(3500 * time.Millisecond)
	s.Done(now, first)
	if _, _, d, ok := s.Next(now); !ok || d.Verdict != admission.Reject || d.Reason != admission.Expired {
		t.Fatalf("latest start passed at the head of the queue: got %v, want Reject for Expired", d)
	}
}

// Guards against a declared run time far above the deadlines that prevents a class
// from running, so that the estimate is never corrected.
func TestSchedulerCorrectsEstimate(t *testing.T) {
	s := admission.Scheduler{Slots: 1, DeclaredRunTime: time.Hour}
	other, _ := s.Arrive(epoch, text.Background, time.Time{})
	deadline := epoch.Add(time.Second)
	if _, d := s.Arrive(epoch, text.Normal, deadline); d.Verdict != admission.Wait {
		t.Fatalf("first request of the class: got %v, want Wait", d)
	}
	if _, d := s.Arrive(epoch, text.Normal, deadline); d.Reason != admission.Late {
		t.Fatalf("second request of the class: got %v, want reason Late", d)
	}
	s.Abandon(other)
	id, _, d, _ := s.Next(epoch)
	if d.Verdict != admission.Run {
		t.Fatalf("first request of the class on a free slot: got %v, want Run", d)
	}
	s.Done(epoch.Add(10*time.Millisecond), id)
	s.Arrive(epoch.Add(10*time.Millisecond), text.Normal, deadline)
	if _, d := s.Arrive(epoch.Add(10*time.Millisecond), text.Normal, deadline); d.Verdict != admission.Wait {
		t.Fatalf("request after the estimate was corrected: got %v, want Wait", d)
	}
}

// fakeRunners is a Scheduler with simulated runs.
type fakeRunners struct {
	admission.Scheduler
	took     func(text.Class) time.Duration
	runs     []run
	slotTime [text.Classes]time.Duration // slot time used
}

type run struct {
	id    admission.ID
	class text.Class
	end   time.Time
}

// tick ends the runs that are due, keeps requests of the given classes queued,
// starts requests on free slots, and adds one step to the slot time of all runs.
func (r *fakeRunners) tick(now time.Time, step time.Duration, classes ...text.Class) {
	start := func(id admission.ID, c text.Class) {
		r.runs = append(r.runs, run{id, c, now.Add(r.took(c))})
	}
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return !x.end.After(now) && r.Done(now, x.id) })
	for _, c := range classes {
		for r.Demand(now)[c] < 2*r.Slots {
			if id, d := r.Arrive(now, c, time.Time{}); d.Verdict == admission.Run {
				start(id, c)
			}
		}
	}
	for id, c, _, ok := r.Next(now); ok; id, c, _, ok = r.Next(now) {
		start(id, c)
	}
	for _, x := range r.runs {
		r.slotTime[x.class] += step
	}
}

// Guards against starvation: a class that always has queued requests gets at least
// its share of the slot time, less one run time on every slot, regardless of the
// other classes, including the most urgent one. Until the first runs end, the
// declared run time is wrong, which may cost the same amount again.
func TestSchedulerShare(t *testing.T) {
	const step, span = 10 * time.Millisecond, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		r := fakeRunners{Scheduler: admission.Scheduler{Slots: rapid.IntRange(1, 12).Draw(t, "slots"), DeclaredRunTime: step}}
		var took [text.Classes]time.Duration
		r.took = func(c text.Class) time.Duration { return took[c] }
		weights, longest := 0, step
		for c := range r.Shares {
			r.Shares[c] = rapid.IntRange(1, 8).Draw(t, "share")
			took[c] = step * time.Duration(rapid.IntRange(1, 100).Draw(t, "steps"))
			weights += r.Shares[c]
			longest = max(longest, took[c])
		}
		measured := drawClass(t)
		pause := rapid.IntRange(0, 2).Draw(t, "pause") // seconds of each 3 without other work
		for now := epoch; now.Before(epoch.Add(span)); now = now.Add(step) {
			if now.Second()%3 < pause {
				r.tick(now, step, measured)
			} else {
				r.tick(now, step, text.Urgent, text.Normal, text.Background)
			}
		}
		want := time.Duration(r.Slots) * (span*time.Duration(r.Shares[measured])/time.Duration(weights) - 2*longest)
		if r.slotTime[measured] < want {
			t.Fatalf("%v got %v of slot time, want at least %v", measured, r.slotTime[measured], want)
		}
	})
}

// Guards against a class that gets more than its share because its run times
// vary: one class has constant run times, the other exponentially distributed
// ones with the same mean.
func TestSchedulerShareVariable(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	r := fakeRunners{
		Scheduler: admission.Scheduler{Slots: 8},
		took: func(c text.Class) time.Duration {
			if c == text.Normal {
				return seconds(rnd.ExpFloat64() / 10)
			}
			return 100 * time.Millisecond
		},
	}
	const step = 2 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(5 * time.Minute)); now = now.Add(step) {
		r.tick(now, step, text.Urgent, text.Normal)
	}
	if ratio := r.slotTime[text.Normal].Seconds() / r.slotTime[text.Urgent].Seconds(); ratio < 0.95 || ratio > 1.05 {
		t.Fatalf("slot time of the class with exponential run times is %.2f times that with constant ones, want 0.95 to 1.05", ratio)
	}
}
