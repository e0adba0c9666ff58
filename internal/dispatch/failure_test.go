package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
)

const patience = time.Second

// states prepare a world so that the next request stays in a state of the
// design until a fault ends it.
var states = map[string]func(w *world, key *string){
	"received": func(*world, *string) {},
	"claimed": func(w *world, key *string) {
		// The home is a daemon that does not answer.
		if *key != "" {
			*key = claim.Mint(time.Now(), "silent.1").String()
		}
	},
	"queued": func(w *world, _ *string) {
		w.faults = []fault{holds}
		go w.daemons[0].Do(context.Background(), job("first", "", false, time.Now().Add(time.Hour)))
	},
	"admitted": func(w *world, _ *string) {
		// Another daemon's request holds the only slot, so the runner refuses.
		w.faults = slices.Repeat([]fault{busy}, 100_000)
	},
	"writing-0": func(w *world, _ *string) { w.faults = []fault{deaf} },
	"writing-1": func(w *world, _ *string) { w.faults = []fault{half} },
	"waiting":   func(w *world, _ *string) { w.faults = []fault{holds} },
}

// injected are the failures of a request in a state.
var injected = map[string]func(w *world, cancel context.CancelFunc){
	"deadline": func(*world, context.CancelFunc) { time.Sleep(patience) },
	"cancel": func(w *world, cancel context.CancelFunc) {
		cancel()
		synctest.Wait()
		close(w.released)
	},
	"stop": func(w *world, _ context.CancelFunc) {
		w.daemons[0].Pools.Close()
		synctest.Wait()
		close(w.released)
	},
	"failure": func(w *world, _ context.CancelFunc) {
		// The pool leaves the text and its runner ends.
		v := view(0, "d1.1")
		v.Text.Services = nil
		w.daemons[0].Pools.Set(v, time.Now())
	},
}

// TestEveryStateAndFailure guards the outcomes of section 4 of the design: a
// failure before the first byte is not-run, one after it unknown, a keyed
// request is unknown until its home has granted the key, and a planned stop
// interrupts no running request.
func TestEveryStateAndFailure(t *testing.T) {
	const n, a, u = backend.NotRun, backend.Answered, backend.Unknown
	for _, tc := range []struct {
		state, failure string
		plain, keyed   backend.Outcome
	}{
		{"received", "deadline", n, n},
		{"received", "cancel", n, n},
		{"received", "stop", n, n},
		{"received", "failure", n, n},
		{"claimed", "deadline", n, u},
		{"claimed", "cancel", n, u},
		{"claimed", "stop", n, u},
		{"claimed", "failure", n, u},
		{"queued", "deadline", n, n},
		{"queued", "cancel", n, n},
		{"queued", "stop", n, n},
		{"queued", "failure", n, n},
		{"admitted", "deadline", n, n},
		{"admitted", "cancel", n, n},
		{"admitted", "stop", n, n},
		{"admitted", "failure", n, n},
		{"writing-0", "deadline", n, n},
		{"writing-0", "cancel", n, a},
		{"writing-0", "stop", a, a},
		{"writing-0", "failure", n, n},
		{"writing-1", "deadline", u, u},
		{"writing-1", "cancel", u, a},
		{"writing-1", "stop", a, a},
		{"writing-1", "failure", u, u},
		{"waiting", "deadline", u, u},
		{"waiting", "cancel", u, a},
		{"waiting", "stop", a, a},
		{"waiting", "failure", u, u},
	} {
		for _, keyed := range []bool{false, true} {
			if tc.state == "claimed" && !keyed {
				continue
			}
			name, want := fmt.Sprintf("%s/%s/keyed=%t", tc.state, tc.failure, keyed), tc.plain
			if keyed {
				want = tc.keyed
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { stateAndFailure(t, tc.state, tc.failure, keyed, want) })
			})
		}
	}
}

func stateAndFailure(t *testing.T, st, failure string, keyed bool, want backend.Outcome) {
	w := newWorld(1, 1)
	key := ""
	if keyed {
		key = claim.Mint(time.Now(), "d1.1").String()
	}
	states[st](w, &key)
	synctest.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	j := job("r", key, false, time.Now().Add(patience))
	inject := func() { injected[failure](w, cancel) }
	if st == "received" {
		inject()
	}
	ended := make(chan Result, 1)
	go func() { ended <- w.daemons[0].Do(ctx, j) }()
	synctest.Wait()
	if st != "received" {
		inject()
	}
	if failure == "failure" && (st == "writing-0" || st == "writing-1" || st == "waiting") {
		// The backend server ends without an answer.
		close(w.crashed)
	}
	res := <-ended
	if res.Outcome != want {
		t.Errorf("got %v (%s), want %v", res.Outcome, res.Reason, want)
	}
	if msg := w.check(j, &res); msg != "" {
		t.Error(msg)
	}
	if keyed && failure != "stop" {
		retried(t, w, key, &res)
	}
	w.end()
	synctest.Wait()
	for _, v := range Replay(w.events(t)) {
		t.Error(v)
	}
}

// retried sends a request again with the key of one that ended.
func retried(t *testing.T, w *world, key string, first *Result) {
	d := w.daemons[0]
	w.mu.Lock()
	w.faults = nil
	w.mu.Unlock()
	d.Pools.Set(view(1, "d1.1"), time.Now())
	w.end()
	synctest.Wait()
	w.crashed = make(chan struct{})
	j := job("again", key, false, time.Now().Add(patience))
	res := d.Do(t.Context(), j)
	if msg := w.check(j, &res); msg != "" {
		t.Error("again:", msg)
	}
	want := first.Outcome
	if want == backend.NotRun {
		want = backend.Answered
	}
	if res.Outcome != want || res.Replayed != (first.Outcome == backend.Answered) {
		t.Errorf("again: got %v (%s), replayed %t after %v", res.Outcome, res.Reason, res.Replayed, first.Outcome)
	}
}

// TestRetries guards which failures send a request again, and that what is
// told at the end covers all its exchanges.
func TestRetries(t *testing.T) {
	const n, a, u = backend.NotRun, backend.Answered, backend.Unknown
	for _, tc := range []struct {
		faults     []fault
		idempotent bool
		want       backend.Outcome
		sent       int
	}{
		{[]fault{busy, refuses, leaves, works}, false, a, 4},
		// Refusals as busy do not count towards the four attempts.
		{[]fault{busy, refuses, leaves, dies, refuses, works}, false, n, 5},
		{[]fault{refuses, leaves, dies, refuses, works}, false, n, 4},
		{[]fault{diesAfter}, false, u, 1},
		{[]fault{crossed}, false, u, 1},
		{[]fault{busy, truncated}, false, u, 2},
		{[]fault{crossed, truncated, unframed, works}, true, a, 4},
		{[]fault{crossed, diesHalf, unframed, diesAfter, works}, true, u, 4},
		{[]fault{diesAfter, busy, refuses, leaves, refuses, works}, true, u, 5},
		{[]fault{diesAfter, refuses, leaves, dies, works}, true, u, 4},
		{[]fault{half}, true, u, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, 5)
			defer w.end()
			w.faults = tc.faults
			j := job("r", "", tc.idempotent, time.Now().Add(patience))
			res := w.daemons[0].Do(t.Context(), j)
			if res.Outcome != tc.want || w.sent != tc.sent || res.Attempts != tc.sent {
				t.Errorf("%v, idempotent %t: got %v after %d exchanges", tc.faults, tc.idempotent, res.Outcome, w.sent)
			}
			if msg := w.check(j, &res); msg != "" {
				t.Errorf("%v: %s", tc.faults, msg)
			}
			for _, v := range Replay(w.events(t)) {
				t.Error(v)
			}
		})
	}
}

// TestKeyOfAnotherRequest guards that an answer that a key's home keeps is
// given only to the request that it belongs to.
func TestKeyOfAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1)
		defer w.end()
		key, deadline := claim.Mint(time.Now(), "d1.1").String(), time.Now().Add(patience)
		w.daemons[0].Do(t.Context(), job("r1", key, false, deadline))
		for name, change := range map[string]func(j *Job){
			"service": func(j *Job) { j.Service = "setline" },
			"target":  func(j *Job) { j.Request.Target = "/other" },
			"body":    func(j *Job) { j.Request.Body = []byte("other") },
		} {
			j := job("r2", key, false, deadline)
			change(j)
			if res := w.daemons[0].Do(t.Context(), j); res.Outcome != backend.Unknown || !res.Conflict || res.Response != nil {
				t.Errorf("other %s: got %v (%s)", name, res.Outcome, res.Reason)
			}
		}
	})
}

// TestLeavingRunner guards invariant 6 at one daemon: after a runner's own
// refusal no request is sent to it, and the others are told.
func TestLeavingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2)
		defer w.end()
		d, told := w.daemons[0], ""
		d.OnLeaving = func(host string, _ time.Time) { told = host }
		w.faults = []fault{leaves}
		for i := range 8 {
			j := job(fmt.Sprint("r", i), "", false, time.Now().Add(patience))
			if res := d.Do(t.Context(), j); res.Outcome != backend.Answered || res.Host == told {
				t.Errorf("request %d: got %v (%s) from %s, leaving %s", i, res.Outcome, res.Reason, res.Host, told)
			}
		}
		if told == "" || w.sent != 9 {
			t.Errorf("leaving %q, %d exchanges, want 9", told, w.sent)
		}
	})
}

// attempt is one drawn request.
type attempt struct {
	at, patience, cancel time.Duration
	key, daemon          int // key 0 is none
	idempotent           bool
}

func drawAttempt(t *rapid.T) attempt {
	ms := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
	}
	a := attempt{at: ms("at", 0, 4000), patience: ms("patience", 0, 3000), cancel: time.Hour, daemon: rapid.IntRange(0, 1).Draw(t, "daemon")}
	if rapid.Bool().Draw(t, "cancelled") {
		a.cancel = ms("cancel", 0, 3000)
	}
	a.key = rapid.IntRange(0, 2).Draw(t, "key")
	a.idempotent = a.key == 0 && rapid.Bool().Draw(t, "idempotent")
	return a
}

// TestFaultsOfRunners guards invariants 3, 4 and 5 while the runners of two
// daemons fail in every way and claim messages are lost: told not-run means
// not run, nothing but idempotent requests runs twice, nothing is sent after
// its deadline, and each caller gets its own whole answer.
func TestFaultsOfRunners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.SliceOfN(rapid.Custom(drawAttempt), 1, 12).Draw(rt, "attempts")
		faults := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 24).Draw(rt, "faults")
		dropped := rapid.SliceOfN(rapid.Bool(), 0, 8).Draw(rt, "dropped")
		release := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "release")) * time.Millisecond
		var broken []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(2, 3)
			w.faults, w.dropped = faults, dropped
			broken = w.play(t, attempts, release)
		})
		for _, b := range broken {
			rt.Error(b)
		}
	})
}

// play makes all attempts and returns what broke a property.
func (w *world) play(t *testing.T, attempts []attempt, release time.Duration) []string {
	keys := []string{"", claim.Mint(time.Now(), "d1.1").String(), claim.Mint(time.Now(), "d2.1").String()}
	time.AfterFunc(release, func() { close(w.released) })
	broken := make([]string, len(attempts))
	var wg sync.WaitGroup
	for i, a := range attempts {
		wg.Go(func() {
			time.Sleep(a.at)
			ctx, cancel := context.WithTimeout(t.Context(), a.cancel)
			defer cancel()
			j := job(fmt.Sprint("r", i), keys[a.key], a.idempotent, time.Now().Add(a.patience))
			res := w.daemons[a.daemon].Do(ctx, j)
			broken[i] = w.check(j, &res)
		})
	}
	wg.Wait()
	time.Sleep(release)
	w.end()
	synctest.Wait()
	for _, v := range Replay(w.events(t)) {
		broken = append(broken, v.String())
	}
	return slices.DeleteFunc(broken, func(s string) bool { return s == "" })
}

// TestHastyDeadlinesEjectNoRunner guards that callers with tiny deadlines
// cannot have a healthy runner ejected, and that a runner that hangs is.
func TestHastyDeadlinesEjectNoRunner(t *testing.T) {
	for _, hasty := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, 2)
			defer w.end()
			w.faults = slices.Repeat([]fault{half}, 20)
			for range 20 {
				j := job("r", "", false, time.Now().Add(time.Millisecond))
				j.ShortDeadline = hasty
				w.daemons[0].Do(t.Context(), j)
			}
			c := w.daemons[0].Pools.Picker.Pick(route.Query{Pool: service, Now: time.Now()})
			again := w.daemons[0].Pools.Picker.Pick(route.Query{Pool: service, Now: time.Now()})
			if both := c.Member != nil && again.Member != nil; both != hasty {
				t.Errorf("hasty %t: both runners in use is %t", hasty, both)
			}
		})
	}
}

// ids records the ids that runners get.
type ids struct{ seen []string }

func (x *ids) Exchange(_ context.Context, _ backend.Runner, req *backend.Request) backend.Result {
	x.seen = append(x.seen, req.ID)
	return backend.Result{Outcome: backend.Unknown, Reason: backend.ReasonConnectionLost}
}

// TestSameRequestID guards against taking the answer to one request for that
// to another when callers choose the same id: the id that a runner echoes is
// new for each exchange, retries included, and at each daemon.
func TestSameRequestID(t *testing.T) {
	w := newWorld(2, 2)
	defer w.end()
	x := new(ids)
	for _, d := range w.daemons {
		d.Exchange = x
		d.Do(t.Context(), job("r1", "", true, time.Now().Add(patience)))
		d.Do(t.Context(), job("r1", "", false, time.Now().Add(patience)))
	}
	slices.Sort(x.seen)
	if n := len(x.seen); n < 5 || len(slices.Compact(x.seen)) != n {
		t.Errorf("ids of %d exchanges: %v", n, x.seen)
	}
}

// TestNotListed guards that a daemon which no map lists, such as one started
// while the platform is down, refuses at once instead of at the deadline.
func TestNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1)
		defer w.end()
		d, start := w.daemons[0], time.Now()
		d.Pools.Set(view(1, "other.1"), start)
		res := d.Do(t.Context(), job("r", "", false, start.Add(patience)))
		if res.Outcome != backend.NotRun || res.Reason != "not-listed" || !time.Now().Equal(start) || w.sent != 0 {
			t.Errorf("got %v (%s) after %s and %d exchanges", res.Outcome, res.Reason, time.Since(start), w.sent)
		}
	})
}
