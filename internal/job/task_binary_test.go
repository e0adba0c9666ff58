package job_test

import (
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestTaskBinary guards against a task name that changes between daemons, which
// would start or stop another task.
func TestTaskBinary(t *testing.T) {
	for _, want := range []job.Task{
		{},
		{Job: "5c0e7a21d94b36f8", Occ: 3, Step: 1, Index: 300},
		{Job: "5C0E7A21D94B36F8", Index: 1},
		{Job: "short", Step: 1 << 20},
	} {
		b, err := want.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		got := job.Task{Job: "old", Occ: 9}
		if err := got.UnmarshalBinary(b); err != nil || got != want {
			t.Errorf("decoded %v, %v, want %v", got, err, want)
		}
	}
}

// FuzzTaskBinary guards against bytes of a peer that end the daemon, or that are
// taken for a name with a negative number.
func FuzzTaskBinary(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 1, 2, 3})
	f.Add([]byte{5, 'a'})
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var x job.Task
		if err := x.UnmarshalBinary(b); err != nil {
			return
		}
		if x.Occ < 0 || x.Step < 0 || x.Index < 0 {
			t.Errorf("decoded %v", x)
		}
	})
}
