package entry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/overload"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// fakeLeader is a leader on another daemon, and the client that asks it.
type fakeLeader struct {
	holder *lead.Holder
	view   *overload.View
	err    error
}

func (f *fakeLeader) Holder() *lead.Holder { return f.holder }

func (f *fakeLeader) Load() (*overload.View, bool) { return nil, false }

func (f *fakeLeader) load(context.Context, netip.AddrPort) (*overload.View, error) {
	return f.view, f.err
}

type loadFunc func(context.Context, netip.AddrPort) (*overload.View, error)

func (f loadFunc) Load(ctx context.Context, to netip.AddrPort) (*overload.View, error) {
	return f(ctx, to)
}

// admissionTest is an Entry whose leader reports an overloaded pool.
type admissionTest struct {
	*Entry
	t        *testing.T
	leader   *fakeLeader
	now      clock.BootTime
	rejected int
}

func newAdmissionTest(t *testing.T, s kv.Store) *admissionTest {
	t.Helper()
	l := &fakeLeader{holder: &lead.Holder{Name: "d1"}, view: &overload.View{Term: 7, Pools: []overload.Pool{
		{Name: "s", Cores: 10, Ready: 1000, Classes: []overload.Class{{Timely: 1000}}},
	}}}
	nop := log.NewNopLogger()
	a := &admissionTest{t: t, leader: l, now: clock.BootTime(time.Hour), Entry: &Entry{
		Store: s, Jobs: NewJobWriter(s, nop), Logger: nop, Admission: NewAdmission(l, loadFunc(l.load), nop),
	}}
	a.Admission.Now = func() clock.BootTime { return a.now }
	a.Admission.Count = func(string, string) { a.rejected++ }
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = a.Jobs.Run(ctx) }() // the error is that of the context
	t.Cleanup(func() {
		cancel()
		<-a.Jobs.Done()
	})
	a.Admission.refresh(ctx)
	return a
}

func (a *admissionTest) submit(id job.ID) Verdict {
	a.t.Helper()
	j := &job.Job{
		ID: id, Queue: "q", Service: "s", Terms: &job.Terms{Stretch: 1.6, Target: time.Second},
		Steps: []job.Step{{Count: 1, Resources: job.Resources{CPU: 1000}, Estimate: time.Second}},
	}
	v, after := a.Submit(a.t.Context(), j, time.Now().Add(time.Minute))
	if (v == Overloaded) != (after >= time.Second) {
		a.t.Errorf("verdict %v with retry after %s", v, after)
	}
	return v
}

const testID job.ID = "00000000000000a1"

// TestOverloaded guards against a rejected job that is stored, and against a rejection of
// a job that this or another daemon has stored or may be storing.
func TestOverloaded(t *testing.T) {
	s := &store.Store{}
	a := newAdmissionTest(t, s)
	if v := a.submit(testID); v != Overloaded || a.rejected != 1 {
		t.Fatalf("verdict %v, %d rejections counted, want a rejection", v, a.rejected)
	}
	if items, _, err := s.List(t.Context(), ""); err != nil || len(items) > 0 {
		t.Errorf("%d keys in the store after a rejection (%v)", len(items), err)
	}
	s.Put(job.Key(testID), []byte("of another daemon"))
	if v := a.submit(testID); v != Accepted {
		t.Errorf("verdict %v on a stored job, want accepted", v)
	}
	const unknown job.ID = "00000000000000a2"
	a.Admission.accept(&job.Job{ID: unknown})
	a.Admission.end(unknown, Unknown)
	a.now = a.now.Add(unknownTime / 2)
	a.Admission.refresh(t.Context())
	if v := a.submit(unknown); v != Accepted {
		t.Errorf("verdict %v on a job whose earlier attempt may store it, want accepted", v)
	}
}

// noLookup is a store that does not respond to lookups.
type noLookup struct{ *store.Store }

func (s noLookup) Get(context.Context, string) (kv.Item, error) {
	return kv.Item{}, errors.Wrap(kv.ErrUnknown, "no response")
}

// TestAcceptedInDoubt guards against a rejection without a fresh view of the present
// leader, or without a response of the store.
func TestAcceptedInDoubt(t *testing.T) {
	for name, change := range map[string]func(a *admissionTest){
		"no view":                   func(a *admissionTest) { a.Admission.view = nil },
		"stale view":                func(a *admissionTest) { a.now = a.now.Add(overload.MaxAge + 1) },
		"no leader":                 func(a *admissionTest) { a.leader.holder = nil },
		"view of a previous leader": func(a *admissionTest) { a.leader.holder = &lead.Holder{Name: "d2"} },
		"view that is old on arrival": func(a *admissionTest) {
			a.leader.view.Age = overload.MaxAge + 1
			a.Admission.refresh(t.Context())
		},
		"view of an earlier term": func(a *admissionTest) {
			a.leader.holder = &lead.Holder{Name: "d2"}
			a.leader.view = &overload.View{Term: 6, Pools: a.leader.view.Pools}
			a.Admission.refresh(t.Context())
		},
		"leader that has just started": func(a *admissionTest) {
			a.leader.holder, a.leader.view = &lead.Holder{Name: "d2"}, nil
			a.Admission.refresh(t.Context())
		},
		"leader that has started again": func(a *admissionTest) { // the daemon has not seen the change
			a.leader.view = nil
			a.Admission.refresh(t.Context())
		},
		"silent leader": func(a *admissionTest) {
			a.leader.err = errors.New("no reply")
			a.now = a.now.Add(overload.MaxAge + 1)
			a.Admission.refresh(t.Context())
		},
		"lookup without a response": func(a *admissionTest) { a.Store = noLookup{a.Store.(*store.Store)} },
	} {
		a := newAdmissionTest(t, &store.Store{})
		if v := a.submit(testID); v != Overloaded {
			t.Fatalf("%s: verdict %v before the change, want overloaded", name, v)
		}
		change(a)
		if v := a.submit(testID); v != Accepted || a.rejected != 1 {
			t.Errorf("%s: verdict %v, want accepted", name, v)
		}
	}
}

// TestRefusedRepeat guards against a 429 for a job that is stored: a concurrent repeat
// that the store refused must not hide that another attempt was accepted.
func TestRefusedRepeat(t *testing.T) {
	a := newAdmissionTest(t, nil).Admission
	j := &job.Job{ID: "j", Queue: "q", Service: "s"}
	a.accept(j)
	a.accept(j)
	a.end(j.ID, Accepted)
	a.end(j.ID, Rejected)
	if !a.submitted(j.ID) {
		t.Error("an accepted job is not known any more")
	}
}
