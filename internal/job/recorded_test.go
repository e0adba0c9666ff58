package job

import (
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against changes of the stored form of jobs, progress and
// keys that another version of the program cannot read.
func TestRecorded(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	f := recorded.Open(t, "recorded.hex")
	j := recorded.New[*Job]()
	// A job must have a valid ID, and its steps may depend only on earlier ones.
	j.ID, j.Steps = id, append(j.Steps, recorded.New[Step]())
	j.Steps[0].DependsOn, j.Steps[1].DependsOn = nil, []int{0}
	recorded.RoundTripOf(f, "job-with-workspace", j, EncodeJob, DecodeJob)
	b, err := EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	if w, err := DecodeWorkspace(b); err != nil || w != j.Workspace {
		t.Errorf("workspace %q of the stored job, error %v, want %q", w, err, j.Workspace)
	}
	j.Workspace, j.Limits = "", nil // a queue without workspaces, or an earlier version
	recorded.RoundTripOf(f, "job-with-terms", j, EncodeJob, DecodeJob)
	j.Terms = nil // an earlier version stores none
	recorded.RoundTripOf(f, "job", j, EncodeJob, DecodeJob)
	p := recorded.New[*Progress]()
	recorded.RoundTripOf(f, "progress-with-terms", p, EncodeProgress, DecodeProgress)
	p.Terms = nil
	recorded.RoundTripOf(f, "progress-with-ranges", p, EncodeProgress, DecodeProgress)
	p.Complete = nil
	for p.Outcome = Completed; p.Outcome <= Cancelled; p.Outcome++ {
		recorded.RoundTripOf(f, "progress-"+p.Outcome.String(), p, EncodeProgress, DecodeProgress)
	}
	// An earlier version counts no starts for a runner.
	p.Outcome, p.Tasks[0].Counted = Cancelled, nil
	recorded.RoundTripOf(f, "progress-1", p, EncodeProgress, DecodeProgress)

	recorded.Open(t, "recorded.txt").Check("keys", []byte(strings.Join([]string{
		Prefix, InputPrefix, JobPrefix, CancelPrefix, LeaderKey, ProgressPrefix, RosterKey, MachinesKey, WavePrefix, TermKey,
		Key(id), CancelKey(id), ProgressKey(id), WaveKey(7),
	}, " ")))
}
