package relay

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/coder/websocket"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// inTime returns an expiry that does not pass during a test.
func inTime() expiry {
	now := clock.Now()
	return expiry{
		at:      leaderTime(now.Add(time.Hour)),
		reading: reading{SentAt: relayTime(now), ReceivedAt: leaderTime(now)}, batch: newBatch(1),
	}
}

func (l leaderTime) add(d time.Duration) leaderTime { return l + leaderTime(d) }

// hosts are times of the leader's boot clock as a relay connects.
var hosts = map[string]leaderTime{
	"leader just booted": leaderTime(time.Second),
	"leader up for long": leaderTime(10000 * time.Hour),
}

// TestClocksOfTwoHosts guards against an expiry that is compared with the clock
// of another host, whose origin is unrelated.
func TestClocksOfTwoHosts(t *testing.T) {
	for name, at := range hosts {
		t.Run(name, func(t *testing.T) {
			s := newLeaderStub(t)
			c, r := s.open(at)
			s.send(c, callBatch{Reading: r, Calls: []call{
				{Seq: 1, Kind: startRun, Expiry: at.add(time.Hour)},
				{Seq: 2, Kind: startRun, Expiry: at},
				{Seq: 3, Kind: startRun},
			}})
			rs := s.results(c, 3)
			if rs[1].Outcome != replied || rs[2].Outcome != notSent || rs[3].Outcome != notSent {
				t.Errorf("outcomes %d of a call in time, %d of an expired one and %d of one without an expiry",
					rs[1].Outcome, rs[2].Outcome, rs[3].Outcome)
			}
			if n := s.relay.calls.Load(); n != 1 {
				t.Errorf("%d calls to the runner, want 1", n)
			}
		})
	}
}

// TestExpiredStartsAmongOthers guards against a message whose calls are all
// executed or all dropped because of one of them, and against one log line for
// each expired call.
func TestExpiredStartsAmongOthers(t *testing.T) {
	const each = 40
	s := newLeaderStub(t)
	at := leaderTime(time.Hour)
	c, r := s.open(at)
	b := callBatch{Reading: r}
	starts := call{Kind: startRuns, Specs: []string{"s"}, Starts: make([]start, 4)}
	for i := range uint64(each) {
		late, timely := starts, starts
		late.Seq, late.Expiry = 2*i, at
		timely.Seq, timely.Expiry = 2*i+1, at.add(time.Hour)
		b.Calls = append(b.Calls, late, timely)
	}
	s.send(c, b)
	for seq, r := range s.results(c, 2*each) {
		want := replied
		if seq%2 == 0 {
			want = notSent
		}
		if len(r.Starts) != len(starts.Starts) {
			t.Fatalf("%d outcomes of call %d, want %d", len(r.Starts), seq, len(starts.Starts))
		}
		for _, o := range r.Starts {
			if o.Outcome != want {
				t.Errorf("outcome %d of a start of call %d, want %d", o.Outcome, seq, want)
			}
		}
	}
	if n := s.relay.calls.Load(); n != each*int64(len(starts.Starts)) {
		t.Errorf("%d starts at the runner, want %d", n, each*len(starts.Starts))
	}
	if n := s.log.count(logExpired); n != 1 {
		t.Errorf("%d log lines, want 1", n)
	}
}

// TestExpiredAfterReceipt guards against a relay that is paused between the
// receipt of a call and its execution, and then executes it.
func TestExpiredAfterReceipt(t *testing.T) {
	for k := startRun; k <= startRuns; k++ {
		runners := &fakeRunners{}
		until := inTime()
		until.at = until.reading.ReceivedAt
		c := &call{Kind: k, Specs: []string{"s"}, Starts: make([]start, 2)}
		r := (&Worker{Runners: runners}).execute(t.Context(), c, until)
		outcomes := []outcome{r.Outcome}
		if k == startRuns {
			outcomes = []outcome{r.Starts[0].Outcome, r.Starts[1].Outcome}
		}
		for _, o := range outcomes {
			if o != notSent {
				t.Errorf("kind %d: outcome %d, want %d", k, o, notSent)
			}
		}
		if n := runners.calls.Load(); n != 0 {
			t.Errorf("kind %d: %d calls to the runner", k, n)
		}
	}
}

// TestSlowExchange guards against a relay that uses a connection whose first
// exchange took so long that all commands expire at once.
func TestSlowExchange(t *testing.T) {
	s := newLeaderStub(t)
	c, h := s.accept()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	if _, _, err := c.Read(ctx); err == nil || ctx.Err() != nil {
		t.Errorf("read from a relay that got no reply to its hello: %v, %v", err, ctx.Err())
	}
	if _, again := s.accept(); again.SentAt <= h.SentAt {
		t.Errorf("hello sent at %d after one at %d", again.SentAt, h.SentAt)
	}
}

// TestWrongReading guards against a reading that belongs to no message of the
// relay and lets calls expire too late.
func TestWrongReading(t *testing.T) {
	for name, offset := range map[string]time.Duration{"before the connection": -time.Hour, "in the future": time.Hour} {
		t.Run(name, func(t *testing.T) {
			s := newLeaderStub(t)
			at := leaderTime(time.Hour)
			c, r := s.open(at)
			r.SentAt += relayTime(offset)
			s.send(c, callBatch{Reading: r, Calls: []call{{Seq: 1, Kind: startRun, Expiry: at.add(10 * time.Hour)}}})
			s.accept()
			if n := s.relay.calls.Load(); n != 0 {
				t.Errorf("%d calls to the runner", n)
			}
		})
	}
}

// TestLooseReadingKept guards against a relay that has all calls expire after one
// message to the leader was delayed, or for as long as the connection lasts
// after its hello was.
func TestLooseReadingKept(t *testing.T) {
	at := leaderTime(time.Hour)
	exact := func(r reading, received time.Duration) reading {
		return reading{SentAt: r.SentAt, ReceivedAt: at.add(received)}
	}
	for name, received := range map[string][2]time.Duration{
		"first delayed":  {time.Minute, 0},
		"second delayed": {0, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLeaderStub(t)
			c, r := s.open(at.add(received[0]))
			s.send(c, callBatch{Reading: exact(r, received[1]), Calls: []call{{Seq: 1, Kind: startRun, Expiry: at.add(30 * time.Second)}}})
			if o := s.results(c, 1)[1].Outcome; o != replied {
				t.Errorf("outcome %d, want %d", o, replied)
			}
		})
	}
}

// TestFastClockOfLeader guards against a bound on the leader's clock that a
// leader's clock with a higher rate passes, so that a call expires too late.
func TestFastClockOfLeader(t *testing.T) {
	r := reading{SentAt: 5, ReceivedAt: 1000}
	for _, d := range []time.Duration{0, time.Second, time.Hour, 24 * time.Hour} {
		got := r.upperBound(5 + relayTime(d))
		// The kernel slews by 500 ppm: 10,005 and 9,995 ticks in the time of 10,000.
		if fastest := leaderTime(1000 + d/9995*10005); got < fastest {
			t.Errorf("bound %d after %v, but the clock can be at %d", got, d, fastest)
		}
	}
}

// TestIdleReadingRenewed guards against a relay without calls whose reading
// becomes so old that its first calls expire.
func TestIdleReadingRenewed(t *testing.T) {
	near, far := connect(t)
	ctx, cancel := context.WithCancel(t.Context())
	tick, ended := make(chan time.Time), make(chan error)
	go func() {
		ended <- writeBatches(ctx, near, make(chan result), time.Hour, tick, func(rs []result) any {
			return resultBatch{SentAt: relayTime(clock.Now()), Results: rs}
		})
	}()
	last := relayTime(clock.Now())
	for range 3 {
		tick <- time.Time{}
		var b resultBatch
		if err := read(t.Context(), far, &b); err != nil || b.SentAt <= last || len(b.Results) != 0 {
			t.Fatalf("message %+v after one sent at %d: %v", b, last, err)
		}
		last = b.SentAt
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("writer returned %v, want context.Canceled", err)
	}
}

// TestStuckRelayRenewsReading guards against a relay that makes no progress and
// stays connected because it still renews its reading.
func TestStuckRelayRenewsReading(t *testing.T) {
	p, c := connectStub(t)
	m := p.selected()[0]
	for i := range relayTime(maxTimeouts) {
		if err := write(t.Context(), c, resultBatch{SentAt: i + 1}); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "renewed reading", func() bool { return m.reading.Load().SentAt == i+1 })
		_, _ = p.Start(t.Context(), target("a"), 5, runner.Start{})
	}
	waitFor(t, "disconnection", func() bool { return p.Relays() == 0 })
}

// TestLateResultDelivered guards against a result that is handed to the leader
// after it has given up on the call, as the result of a later one.
func TestLateResultDelivered(t *testing.T) {
	p, c := connectStub(t)
	poll := func() (*runner.Report, error) {
		rep, _, err := p.Poll(t.Context(), target("a"), 5, runner.PollRequest{})
		return rep, err
	}
	next := func() uint64 {
		for {
			var b callBatch
			if err := read(t.Context(), c, &b); err != nil {
				t.Error(err)
				return 0
			}
			if len(b.Calls) == 1 {
				return b.Calls[0].Seq
			}
		}
	}
	if rep, err := poll(); rep != nil || !errors.Is(err, runner.ErrNoResponse) {
		t.Errorf("poll without a reply: %+v, %v", rep, err)
	}
	first := next()
	go func() {
		second := next()
		for _, r := range []result{
			{Seq: first, Report: &runner.Report{Incarnation: 1}},
			{Seq: second, Report: &runner.Report{Incarnation: 2}},
			{Seq: second, Report: &runner.Report{Incarnation: 3}},
		} {
			_ = write(t.Context(), c, resultBatch{Results: []result{r}})
		}
	}()
	if rep, err := poll(); err != nil || rep.Incarnation != 2 {
		t.Errorf("second poll: %+v, %v", rep, err)
	}
}

// TestHelloCountsAsReply guards against a hello that was sent long before it is read,
// by a process that has ended since, and is taken for a sign that this process lives.
func TestHelloCountsAsReply(t *testing.T) {
	p := newFixture(t).pool
	replied := make(chan clock.BootTime, 10)
	p.Replied = func(name, incarnation string, at clock.BootTime) {
		if name != "stub" || incarnation != "i2" {
			t.Errorf("reply of %s, incarnation %s", name, incarnation)
		}
		replied <- at
	}
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	began := clock.Now()
	c, _, err := websocket.Dial(t.Context(), srv.URL, nil) //nolint:bodyclose // the library closes it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.CloseNow() })
	if err := write(t.Context(), c, hello{Name: "stub", Incarnation: "i2", Zone: "a", RelativeCapacity: 1}); err != nil {
		t.Fatal(err)
	}
	var b callBatch
	if err := read(t.Context(), c, &b); err != nil {
		t.Fatal(err)
	}
	if len(replied) > 0 {
		t.Error("the hello counts as a reply")
	}
	if err := write(t.Context(), c, resultBatch{SentAt: relayTime(clock.Now())}); err != nil {
		t.Fatal(err)
	}
	if at := <-replied; !at.After(began) || at.After(clock.Now()) {
		t.Errorf("reply at %v, want one between %v and now", at, began)
	}
}

// TestCommandExpiresAtSendDeadline guards against a relay that begins a command after
// the time from which on its leader may send none.
func TestCommandExpiresAtSendDeadline(t *testing.T) {
	disconnected := make(chan struct{})
	close(disconnected)
	m := &member{calls: make(chan call, 2), pending: make(map[uint64]chan result), done: disconnected}
	p := &Pool{CallDirectly: func() bool { return false }}
	p.used.Store(&selection{relays: []*member{m}})
	for _, left := range []time.Duration{0, 100 * time.Millisecond, time.Minute} {
		at := clock.Now().Add(left)
		ctx := runner.WithSendDeadline(t.Context(), at)
		if _, err := p.Start(ctx, runner.Target{ID: "r"}, 1, runner.Start{}); err == nil {
			t.Fatal("reply of a disconnected relay")
		}
		p.StartAll(ctx, runner.Target{ID: "r"}, 1, []runner.Start{{}})
		if left == 0 && len(m.calls) > 0 {
			t.Errorf("%d calls after the send deadline", len(m.calls))
		}
		for range len(m.calls) {
			if c := <-m.calls; c.Expiry > leaderTime(at) || c.Expiry > leaderTime(clock.Now().Add(CommandTimeout)) {
				t.Errorf("call of kind %d expires %v after the send deadline", c.Kind, time.Duration(c.Expiry-leaderTime(at)))
			}
		}
	}
}
