package relay

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestInvalidResult guards against a result of a relay, such as one of another
// version, that ends the leader when it is logged, or that is taken for the
// reply of a runner.
func TestInvalidResult(t *testing.T) {
	for name, r := range map[string]result{
		"outcome": {Outcome: 9},
		"verdict": {Verdict: -1},
		"cause":   {Report: &runner.Report{Results: []runner.RunResult{{Seq: 1, Cause: 77}}}},
		"number":  {Report: &runner.Report{Results: []runner.RunResult{{Seq: 0}}}},
	} {
		if err := r.check(); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for _, s := range []string{runner.Verdict(99).String(), runner.Verdict(-1).String(), runner.Cause(99).String()} {
		if s == "" {
			t.Error("no text for a value out of range")
		}
	}
}

// FuzzMessages guards against a message of a peer that ends the daemon.
func FuzzMessages(f *testing.F) {
	for _, v := range []any{
		hello{Name: "a"},
		callBatch{Calls: []call{{Seq: 1, Kind: startRun}}},
		resultBatch{Results: []result{{Seq: 1, Report: &runner.Report{Running: []runner.Run{{Attempt: 1}}}}}},
	} {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		var h hello
		var cs callBatch
		var rb resultBatch
		_ = cbor.Unmarshal(b, &h)
		if cbor.Unmarshal(b, &cs) == nil && cs.Reading.check(0, 1) == nil {
			_ = cs.Reading.upperBound(1)
		}
		if cbor.Unmarshal(b, &rb) == nil {
			rs := rb.Results
			for i := range rs {
				if rs[i].check() == nil {
					_ = log.NewNopLogger().Log("verdict", rs[i].Verdict.String(), "err", rs[i].err())
				}
			}
		}
	})
}
