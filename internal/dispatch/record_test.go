package dispatch

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
)

// alwaysAnswered is an exchanger whose exchanges are always answered.
type alwaysAnswered struct{}

func (alwaysAnswered) Exchange(context.Context, backend.Runner, *backend.Request) backend.Result {
	return backend.Result{Outcome: backend.Answered, Reason: backend.ReasonOK, Response: new(backend.Response)}
}

func callRecorders(d *Dispatcher, j *Job) {
	d.recordArrive(j)
	d.recordClaim(j, claim.Granted)
	d.recordAdmit(j, &admission.Decision{})
	d.recordSend(j, &route.Member{}, &exchanged{}, time.Time{}, true, Return)
	d.recordEnd(j, &Result{})
}

// TestNoRecorderAllocatesNothing guards against allocations by the record
// functions while recording is off.
func TestNoRecorderAllocatesNothing(t *testing.T) {
	d, j := new(Dispatcher), job("r", "", true, time.Now())
	if n := testing.AllocsPerRun(100, func() { callRecorders(d, j) }); n > 0 {
		t.Errorf("%v allocations without a recorder, want 0", n)
	}
}

func BenchmarkRecordOff(b *testing.B) {
	d, j := new(Dispatcher), job("r", "", true, time.Now())
	b.ReportAllocs()
	for b.Loop() {
		callRecorders(d, j)
	}
}

func BenchmarkDo(b *testing.B) {
	w := newWorld(1, 3)
	d := w.daemons[0]
	d.Exchange, d.Trace = alwaysAnswered{}, nil
	j := job("r", "", true, time.Now().Add(time.Hour))
	b.ReportAllocs()
	for b.Loop() {
		d.Do(b.Context(), j)
	}
}

// TestReplayOfRecordedTraces guards against decisions that differ from those
// recorded by earlier versions, and against a replay that accepts a faulty
// trace.
func TestReplayOfRecordedTraces(t *testing.T) {
	for file, want := range recorded {
		f, err := os.Open("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		events, err := trace.Read(f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, v := range Replay(events) {
			got = append(got, v.Message)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: got %q, want %q", file, got, want)
		}
	}
}

// recorded holds the trace files and the expected violations in each.
var recorded = map[string][]string{
	// Three daemons of testdata/script/keys.txtar: keys sent twice, the
	// platform unavailable, and a daemon killed while it ran a keyed request.
	"keys.jsonl": nil,
	// Three daemons of testdata/script/answers.txtar: responses with a wrong
	// request ID or truncated body, retries and a planned stop.
	"answers.jsonl": nil,
	// Parts of testdata/script/leaving.txtar: a host shuts down while the
	// platform is unavailable, and two daemons send to the other host for 5 s.
	"leaving.jsonl": nil,
	// keys.txtar with a faulty claim table that grants a running key again.
	"weak.jsonl": {"ran again: daemon a2.mx8w6ypz sent it to host a-w1 before"},
}
