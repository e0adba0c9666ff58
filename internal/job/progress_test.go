package job_test

import (
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestDueTimesStored guards against occurrences that start before they are due
// after a change of the leader, because the stored form dropped the fractions of
// a second.
func TestDueTimesStored(t *testing.T) {
	first := time.UnixMilli(1700000000987)
	j := &job.Job{
		ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Count: 1}}, FirstDue: first, Accepted: first.Add(time.Millisecond),
		Period: 250 * time.Millisecond, Repeats: 3,
	}
	b, err := job.EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	got, err := job.DecodeJob(b)
	if err != nil {
		t.Fatal(err)
	}
	for k := range 3 {
		if d := j.Due(k).Sub(got.Due(k)).Abs(); d > time.Millisecond {
			t.Errorf("occurrence %d is due at %v, want %v", k, got.Due(k), j.Due(k))
		}
	}
	if d := j.Accepted.Sub(got.Accepted).Abs(); d > time.Millisecond {
		t.Errorf("accepted at %v, want %v", got.Accepted, j.Accepted)
	}
	if b, err = job.EncodeJob(&job.Job{ID: j.ID, Steps: j.Steps}); err != nil {
		t.Fatal(err)
	}
	if got, err = job.DecodeJob(b); err != nil || !got.Due(0).IsZero() {
		t.Errorf("job without due time: due at %v, %v", got.Due(0), err)
	}
}
