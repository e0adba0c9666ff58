package relay

import (
	"context"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestRecorded guards against a leader and a relay of different versions that
// misread each other's calls and results. The entries of a report have no CBOR
// keys: they are encoded under the names of their fields.
func TestRecorded(t *testing.T) {
	near, far := connect(t)
	f := recorded.Open(t, "recorded.hex")
	check[hello](t, f, "hello", near, far)
	check[callBatch](t, f, "calls", near, far)
	check[resultBatch](t, f, "results", near, far)
}

// TestRecordedKinds guards against a relay that misreads the kind of a call, or
// loses a field of it.
func TestRecordedKinds(t *testing.T) {
	f := recorded.Open(t, "kinds.txt")
	disconnected := make(chan struct{})
	close(disconnected)
	m := &member{calls: make(chan call, 1), pending: make(map[uint64]chan result), done: disconnected}
	p := &Pool{CallDirectly: func() bool { return false }}
	p.used.Store(&selection{relays: []*member{m}})
	to, task := recorded.New[runner.Target](), recorded.New[job.Task]()
	ctx := t.Context()
	for _, x := range []struct {
		name string
		send func() error
	}{
		{"start", func() error { _, err := p.Start(ctx, to, 70, recorded.New[runner.Start]()); return err }},
		{"stop", func() error { _, err := p.Stop(ctx, to, 71, task, 72); return err }},
		{"pace", func() error { _, err := p.Throttle(ctx, to, 73, task, 74, 75); return err }},
		{"starts", func() error {
			return p.StartAll(ctx, to, 78, []runner.Start{recorded.New[runner.Start]()})[0].Err
		}},
		{"look", func() error { _, _, err := p.Poll(ctx, to, 76, recorded.New[runner.PollRequest]()); return err }},
	} {
		name := x.name
		queuedAt := clock.Now()
		// The relay is disconnected, so that the pool queues the call and then
		// returns an error.
		if err := x.send(); !errors.Is(err, runner.ErrNoResponse) {
			t.Errorf("%s: %v", name, err)
		}
		c := <-m.calls
		within := CommandTimeout
		if c.Kind == pollRunner {
			within = c.Wait + pollGrace
		}
		if earliest, latest := queuedAt.Add(within), clock.Now().Add(within); c.Expiry < leaderTime(earliest) || c.Expiry > leaderTime(latest) {
			t.Errorf("%s: expiry %d, want %d to %d", name, c.Expiry, earliest, latest)
		}
		c.Expiry = recordedExpiry
		b, err := cbor.Marshal([]call{c})
		if err != nil {
			t.Fatal(err)
		}
		b, err = hex.DecodeString(string(f.Check(name+"-call", []byte(hex.EncodeToString(b)))))
		if err != nil {
			t.Fatal(err)
		}
		var got []call
		if err := cbor.Unmarshal(b, &got); err != nil || len(got) != 1 {
			t.Fatalf("%s: %v, %v", name, got, err)
		}
		if got[0].Expiry != recordedExpiry {
			t.Errorf("%s: decoded expiry %d, want %d", name, got[0].Expiry, recordedExpiry)
		}
		var to callRecorder
		res := (&Worker{Runners: &to}).execute(ctx, &got[0], inTime())
		if b, err = cbor.Marshal([]result{res}); err != nil {
			t.Fatal(err)
		}
		f.Check(name+"-result", []byte(hex.EncodeToString(b)))
		f.Check(name+"-asked", []byte(to))
	}
}

// recordedExpiry is the expiry of recorded calls.
const recordedExpiry = 79

// callRecorder is a runner that records the last call.
type callRecorder string

func (r *callRecorder) record(args ...any) (runner.Reply, error) {
	*r = callRecorder(fmt.Sprintf("%v", args))
	return runner.Reply{Verdict: runner.Invalid, Clock: 77}, nil
}

func (r *callRecorder) Start(_ context.Context, to runner.Target, t runner.Term, s runner.Start) (runner.Reply, error) {
	return r.record("start", to, t, s)
}

func (r *callRecorder) Stop(_ context.Context, to runner.Target, t runner.Term, task job.Task, attempt int) (runner.Reply, error) {
	return r.record("stop", to, t, task, attempt)
}

func (r *callRecorder) Throttle(_ context.Context, to runner.Target, t runner.Term, task job.Task, attempt, percent int) (runner.Reply, error) {
	return r.record("pace", to, t, task, attempt, percent)
}

func (r *callRecorder) Poll(_ context.Context, to runner.Target, t runner.Term, req runner.PollRequest) (*runner.Report, runner.Reply, error) {
	reply, err := r.record("look", to, t, req)
	return recorded.New[*runner.Report](), reply, err
}

// check encodes and decodes a value over the connection.
func check[T any](t *testing.T, f *recorded.File, name string, near, far *websocket.Conn) {
	recorded.RoundTrip(f, name, func(v T) ([]byte, error) {
		if err := write(t.Context(), near, v); err != nil {
			return nil, err
		}
		_, b, err := far.Read(t.Context())
		return b, err
	}, func(b []byte) (T, error) {
		var v T
		if err := far.Write(t.Context(), websocket.MessageBinary, b); err != nil {
			return v, err
		}
		err := read(t.Context(), near, &v)
		return v, err
	})
}

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far *websocket.Conn) {
	accepted := make(chan *websocket.Conn, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}))
	t.Cleanup(srv.Close)
	near, _, err := websocket.Dial(t.Context(), srv.URL, nil) //nolint:bodyclose // the library closes it
	if err != nil {
		t.Fatal(err)
	}
	far = <-accepted
	t.Cleanup(func() {
		_ = near.CloseNow()
		_ = far.CloseNow()
	})
	return near, far
}
