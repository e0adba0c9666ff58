package caller

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
)

// TestCounts guards against wrong counts in the totals, from which the
// availability budgets are calculated: each request must count once, and one
// that its caller cancelled must not count as a failure.
func TestCounts(t *testing.T) {
	now := time.Now()
	response := func(status int) *backend.Response { return &backend.Response{Status: status} }
	for name, tc := range map[string]struct {
		res   dispatch.Result
		after time.Duration // of the deadline
		want  totals.Count
	}{
		"served":       {dispatch.Result{Outcome: backend.Answered, Response: response(200), Attempts: 1, Zone: "a"}, -1, totals.Count{Served: 1}},
		"client error": {dispatch.Result{Outcome: backend.Answered, Response: response(404), Attempts: 1, Zone: "a"}, -1, totals.Count{Served: 1}},
		"spilled":      {dispatch.Result{Outcome: backend.Answered, Response: response(200), Attempts: 2, Zone: "b"}, -1, totals.Count{Served: 1, Retried: 1, Spilled: 1}},
		"failed":       {dispatch.Result{Outcome: backend.Answered, Response: response(500), Attempts: 1, Zone: "a"}, -1, totals.Count{Failed: 1}},
		"refused":      {dispatch.Result{Outcome: backend.NotRun, Reason: "late"}, -1, totals.Count{Refused: 1}},
		"late":         {dispatch.Result{Outcome: backend.Unknown, Reason: backend.ReasonDeadline, Attempts: 1, Zone: "a"}, 1, totals.Count{Late: 1}},
		"answer late":  {dispatch.Result{Outcome: backend.Answered, Response: response(200), Attempts: 1, Zone: "a"}, 1, totals.Count{Late: 1}},
		"unknown":      {dispatch.Result{Outcome: backend.Unknown, Reason: backend.ReasonConnectionLost, Attempts: 1, Zone: "a"}, -1, totals.Count{Unknown: 1}},
		"cancelled":    {dispatch.Result{Outcome: backend.NotRun, Reason: backend.ReasonCancelled}, -1, totals.Count{Cancelled: 1}},
	} {
		var got totals.Count
		j := &dispatch.Job{Request: &backend.Request{Deadline: now.Add(-tc.after)}}
		(&Server{Zone: "a"}).count(j, &tc.res, &got, now)
		if got != tc.want {
			t.Errorf("%s: got %+v, want %+v", name, got, tc.want)
		}
	}
}
