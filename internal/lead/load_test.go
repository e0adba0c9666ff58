package lead

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/store"
)

// TestLoadCached guards against a load that is computed for each daemon that asks, and
// against one whose age does not include the time since it was computed.
func TestLoadCached(t *testing.T) {
	tm := newTestTerm(t, &lossyStore{Store: &store.Store{}})
	tm.state.Configure(job.NewConfig(1, nil, nil, job.Limits{}))
	now := clock.Now().Add(time.Minute)
	tm.state.InputCurrent(0, now)
	for after, want := range []time.Duration{0, 150 * time.Millisecond, 0} {
		now := now.Add(time.Duration(after) * 150 * time.Millisecond)
		if v := tm.loadView(now); v == nil || v.Term != int64(tm.id) || v.Age != want {
			t.Errorf("load %+v after %d steps of 150 ms, want one that is %s old", v, after, want)
		}
	}
}
