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

const requestTimeout = time.Second

// states set up the world so that the next request stays in the named state of
// section 4 of the design until a failure is injected.
var states = map[string]func(w *world, key *string){
	"received": func(*world, *string) {},
	"claimed": func(w *world, key *string) {
		// The owner is a daemon that does not reply.
		if *key != "" {
			*key = claim.Mint(time.Now(), "silent.1").String()
		}
	},
	"queued": func(w *world, _ *string) {
		w.faults = []fault{answersOnRelease}
		go w.daemons[0].Do(context.Background(), job("first", "", false, time.Now().Add(time.Hour)))
	},
	"admitted": func(w *world, _ *string) {
		// Another daemon's request occupies the only slot, so the runner rejects
		// as busy.
		w.faults = slices.Repeat([]fault{busy}, 100_000)
	},
	"writing-0": func(w *world, _ *string) { w.faults = []fault{readsNothing} },
	"writing-1": func(w *world, _ *string) { w.faults = []fault{readsOneByte} },
	"waiting":   func(w *world, _ *string) { w.faults = []fault{answersOnRelease} },
}

// injected are the failures of a request in a state.
var injected = map[string]func(w *world, cancel context.CancelFunc){
	"deadline": func(*world, context.CancelFunc) { time.Sleep(requestTimeout) },
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
		// The pool is removed from the configuration text.
		v := view(0, "d1.1")
		v.Text.Services = nil
		w.daemons[0].Pools.Set(v, time.Now())
	},
}

// TestEveryStateAndFailure guards against outcomes that differ from section 4 of
// the design: a failure before the first byte is not-run, one after it unknown,
// a keyed request is unknown until its owner has granted the key, and a planned
// stop interrupts no running request.
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
	j := job("r", key, false, time.Now().Add(requestTimeout))
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
		// The backend server closes the connection without a response.
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
		checkRetry(t, w, key, &res)
	}
	w.closeAll()
	synctest.Wait()
	for _, v := range Replay(w.events(t)) {
		t.Error(v)
	}
}

// checkRetry sends another request with the key of one that ended, and checks
// that it runs only if the first did not.
func checkRetry(t *testing.T, w *world, key string, first *Result) {
	d := w.daemons[0]
	w.mu.Lock()
	w.faults = nil
	w.mu.Unlock()
	d.Pools.Set(view(1, "d1.1"), time.Now())
	w.closeAll()
	synctest.Wait()
	w.crashed = make(chan struct{})
	j := job("again", key, false, time.Now().Add(requestTimeout))
	res := d.Do(t.Context(), j)
	if msg := w.check(j, &res); msg != "" {
		t.Error("retry:", msg)
	}
	want := first.Outcome
	if want == backend.NotRun {
		want = backend.Answered
	}
	if res.Outcome != want || res.Replayed != (first.Outcome == backend.Answered) {
		t.Errorf("retry: got %v (%s), replayed %t, after a first attempt with outcome %v", res.Outcome, res.Reason, res.Replayed, first.Outcome)
	}
}

// TestRetries guards against retries after failures that forbid one, missing
// retries, and outcomes that do not cover all exchanges of a request.
func TestRetries(t *testing.T) {
	const n, a, u = backend.NotRun, backend.Answered, backend.Unknown
	for _, tc := range []struct {
		faults     []fault
		idempotent bool
		want       backend.Outcome
		sent       int
	}{
		{[]fault{busy, refuses, shutsDown, works}, false, a, 4},
		// Rejections as busy do not count towards the four attempts.
		{[]fault{busy, refuses, shutsDown, closesUnread, refuses, works}, false, n, 5},
		{[]fault{refuses, shutsDown, closesUnread, refuses, works}, false, n, 4},
		{[]fault{closesAfterRun}, false, u, 1},
		{[]fault{wrongID}, false, u, 1},
		{[]fault{busy, truncated}, false, u, 2},
		{[]fault{wrongID, truncated, unframed, works}, true, a, 4},
		{[]fault{wrongID, closesAfterByte, unframed, closesAfterRun, works}, true, u, 4},
		{[]fault{closesAfterRun, busy, refuses, shutsDown, refuses, works}, true, u, 5},
		{[]fault{closesAfterRun, refuses, shutsDown, closesUnread, works}, true, u, 4},
		{[]fault{readsOneByte}, true, u, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, 5)
			defer w.closeAll()
			w.faults = tc.faults
			j := job("r", "", tc.idempotent, time.Now().Add(requestTimeout))
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

// TestKeyOfAnotherRequest guards against a stored response that is returned to
// a different request with the same key.
func TestKeyOfAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1)
		defer w.closeAll()
		key, deadline := claim.Mint(time.Now(), "d1.1").String(), time.Now().Add(requestTimeout)
		w.daemons[0].Do(t.Context(), job("r1", key, false, deadline))
		for name, change := range map[string]func(j *Job){
			"service": func(j *Job) { j.Service = "setline" },
			"target":  func(j *Job) { j.Request.Target = "/other" },
			"body":    func(j *Job) { j.Request.Body = []byte("other") },
		} {
			j := job("r2", key, false, deadline)
			change(j)
			if res := w.daemons[0].Do(t.Context(), j); res.Outcome != backend.Unknown || !res.Conflict || res.Response != nil {
				t.Errorf("other %s: got %v (%s), want unknown with a conflict and no response", name, res.Outcome, res.Reason)
			}
		}
	})
}

// TestLeavingRunner guards invariant 6 at one daemon: after a runner reports
// that it is shutting down, no request is sent to it, and OnLeaving is called so
// that other daemons are notified.
func TestLeavingRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 2)
		defer w.closeAll()
		d, leaving := w.daemons[0], ""
		d.OnLeaving = func(host string, _ time.Time) { leaving = host }
		w.faults = []fault{shutsDown}
		for i := range 8 {
			j := job(fmt.Sprint("r", i), "", false, time.Now().Add(requestTimeout))
			if res := d.Do(t.Context(), j); res.Outcome != backend.Answered || res.Host == leaving {
				t.Errorf("request %d: got %v (%s) from %s, leaving %s, want answered by the other runner", i, res.Outcome, res.Reason, res.Host, leaving)
			}
		}
		if leaving == "" || w.sent != 9 {
			t.Errorf("leaving %q, %d exchanges, want 9", leaving, w.sent)
		}
	})
}

// attempt is one randomly generated request.
type attempt struct {
	at, timeout, cancel time.Duration
	key, daemon         int // key 0 is none
	idempotent          bool
}

func drawAttempt(t *rapid.T) attempt {
	ms := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
	}
	a := attempt{at: ms("at", 0, 4000), timeout: ms("timeout", 0, 3000), cancel: time.Hour, daemon: rapid.IntRange(0, 1).Draw(t, "daemon")}
	if rapid.Bool().Draw(t, "cancelled") {
		a.cancel = ms("cancel", 0, 3000)
	}
	a.key = rapid.IntRange(0, 2).Draw(t, "key")
	a.idempotent = a.key == 0 && rapid.Bool().Draw(t, "idempotent")
	return a
}

// TestFaultsOfRunners guards invariants 3, 4 and 5 while the runners of two
// daemons fail in all simulated ways and claim messages are lost: a request
// reported as not-run did not run, only idempotent requests run twice, no request
// is sent after its deadline, and each caller gets the complete response to its
// own request.
func TestFaultsOfRunners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		attempts := rapid.SliceOfN(rapid.Custom(drawAttempt), 1, 12).Draw(rt, "attempts")
		faults := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 24).Draw(rt, "faults")
		dropped := rapid.SliceOfN(rapid.Bool(), 0, 8).Draw(rt, "dropped")
		release := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "release")) * time.Millisecond
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(2, 3)
			w.faults, w.dropped = faults, dropped
			violations = w.runAttempts(t, attempts, release)
		})
		for _, v := range violations {
			rt.Error(v)
		}
	})
}

// runAttempts makes all attempts and returns the violated properties.
func (w *world) runAttempts(t *testing.T, attempts []attempt, release time.Duration) []string {
	keys := []string{"", claim.Mint(time.Now(), "d1.1").String(), claim.Mint(time.Now(), "d2.1").String()}
	time.AfterFunc(release, func() { close(w.released) })
	violations := make([]string, len(attempts))
	var wg sync.WaitGroup
	for i, a := range attempts {
		wg.Go(func() {
			time.Sleep(a.at)
			ctx, cancel := context.WithTimeout(t.Context(), a.cancel)
			defer cancel()
			j := job(fmt.Sprint("r", i), keys[a.key], a.idempotent, time.Now().Add(a.timeout))
			res := w.daemons[a.daemon].Do(ctx, j)
			violations[i] = w.check(j, &res)
		})
	}
	wg.Wait()
	time.Sleep(release)
	w.closeAll()
	synctest.Wait()
	for _, v := range Replay(w.events(t)) {
		violations = append(violations, v.String())
	}
	return slices.DeleteFunc(violations, func(s string) bool { return s == "" })
}

// TestShortDeadlinesEjectNoRunner guards against the ejection of a healthy
// runner because of callers with very short deadlines, and against a runner that
// hangs and is not ejected.
func TestShortDeadlinesEjectNoRunner(t *testing.T) {
	for _, shortDeadline := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(1, 2)
			defer w.closeAll()
			w.faults = slices.Repeat([]fault{readsOneByte}, 20)
			for range 20 {
				j := job("r", "", false, time.Now().Add(time.Millisecond))
				j.ShortDeadline = shortDeadline
				w.daemons[0].Do(t.Context(), j)
			}
			first := w.daemons[0].Pools.Picker.Pick(route.Query{Pool: service, Now: time.Now()})
			second := w.daemons[0].Pools.Picker.Pick(route.Query{Pool: service, Now: time.Now()})
			if both := first.Member != nil && second.Member != nil; both != shortDeadline {
				t.Errorf("short deadline %t: both runners in use is %t", shortDeadline, both)
			}
		})
	}
}

// ids records the request IDs that are sent to runners.
type ids struct{ seen []string }

func (r *ids) Exchange(_ context.Context, _ backend.Runner, req *backend.Request) backend.Result {
	r.seen = append(r.seen, req.ID)
	return backend.Result{Outcome: backend.Unknown, Reason: backend.ReasonConnectionLost}
}

// TestSameRequestID guards against mistaking the response to one request for
// that to another if callers choose the same ID: the ID that a runner echoes is
// different for each exchange, including retries, and at each daemon.
func TestSameRequestID(t *testing.T) {
	w := newWorld(2, 2)
	defer w.closeAll()
	x := new(ids)
	for _, d := range w.daemons {
		d.Exchange = x
		d.Do(t.Context(), job("r1", "", true, time.Now().Add(requestTimeout)))
		d.Do(t.Context(), job("r1", "", false, time.Now().Add(requestTimeout)))
	}
	slices.Sort(x.seen)
	if n := len(x.seen); n < 5 || len(slices.Compact(x.seen)) != n {
		t.Errorf("request IDs of %d exchanges, want 5 or more and all different: %v", n, x.seen)
	}
}

// TestNotListed guards against requests that wait until their deadline at a daemon
// that is not listed in any map, such as one started while the platform is
// unavailable. The daemon must reject them immediately.
func TestNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1)
		defer w.closeAll()
		d, start := w.daemons[0], time.Now()
		d.Pools.Set(view(1, "other.1"), start)
		res := d.Do(t.Context(), job("r", "", false, start.Add(requestTimeout)))
		if res.Outcome != backend.NotRun || res.Reason != "not-listed" || !time.Now().Equal(start) || w.sent != 0 {
			t.Errorf("got %v (%s) after %s and %d exchanges, want not-run (not-listed) at once without an exchange", res.Outcome, res.Reason, time.Since(start), w.sent)
		}
	})
}
