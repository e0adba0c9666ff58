package job

import (
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Outcome is the outcome of a job.
type Outcome int

// Outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Cancelled
)

func (o Outcome) String() string {
	if o < Open || o > Cancelled {
		return "outcome " + strconv.Itoa(int(o))
	}
	return [...]string{"open", "completed", "failed", "cancelled"}[o]
}

// TaskProgress is the durable record of one task's runs.
type TaskProgress struct {
	Occ    int   `cbor:"1,keyasint,omitempty"`
	Step   int   `cbor:"2,keyasint,omitempty"`
	Index  int   `cbor:"3,keyasint,omitempty"`
	Done   bool  `cbor:"4,keyasint,omitempty"`
	Failed []int `cbor:"5,keyasint,omitempty"` // attempts that failed
	// Attempt is the highest recorded attempt that was started or reserved.
	Attempt    int    `cbor:"6,keyasint,omitempty"`
	Checkpoint string `cbor:"7,keyasint,omitempty"` // newest checkpoint
	// Crashes, Suspect and Unresolved are the record of package crash.
	Crashes    int  `cbor:"8,keyasint,omitempty"`
	Suspect    bool `cbor:"9,keyasint,omitempty"`
	Unresolved int  `cbor:"10,keyasint,omitempty"`
	// Counted are the starts in Unresolved of which a runner may still tell whether
	// they crashed it.
	Counted []CountedStart `cbor:"11,keyasint,omitempty"`
}

// CountedStart is a start that was counted before it was sent.
type CountedStart struct {
	Attempt int `cbor:"1,keyasint"`
	// Runner is the one that it was counted for.
	Runner      string `cbor:"2,keyasint"`
	Incarnation int64  `cbor:"3,keyasint"`
}

// Progress is the durable record of a job's progress. The leader writes it. A
// task without an entry in Tasks has no recorded attempt, or is done as part of a
// complete occurrence.
type Progress struct {
	Outcome Outcome        `cbor:"1,keyasint,omitempty"`
	Started bool           `cbor:"2,keyasint,omitempty"` // a task has been started
	Tasks   []TaskProgress `cbor:"3,keyasint,omitempty"`
	// Complete has the complete occurrences of which Tasks has only the tasks with
	// an earlier attempt that may still return a result.
	Complete Ranges `cbor:"4,keyasint,omitempty"`
	// Terms are the last ones of a queue that is no longer configured; nil: those of the
	// job.
	Terms *Terms `cbor:"5,keyasint,omitempty"`
}

// HasFailed reports whether the failure of an attempt is already counted.
func (p *TaskProgress) HasFailed(attempt int) bool { return slices.Contains(p.Failed, attempt) }

// jobEncoding keeps the microseconds of times. The default encoding drops
// fractions of a second, so that an occurrence read back would be due early.
var jobEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic("job: invalid encoding options: " + err.Error())
	}
	return m
}()

// EncodeJob returns the stored form of a job.
func EncodeJob(j *Job) ([]byte, error) {
	b, err := jobEncoding.Marshal(j)
	return b, errors.Wrapf(err, "encode job %s", j.ID)
}

// DecodeJob decodes the stored form of a job.
func DecodeJob(b []byte) (*Job, error) {
	var j Job
	if err := cbor.Unmarshal(b, &j); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	if err := j.Validate(); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	return &j, nil
}

// DecodeWorkspace returns the workspace in the stored form of a job; it is empty if the
// job has none. The rest of the job is not checked.
func DecodeWorkspace(b []byte) (string, error) {
	var r struct {
		Workspace string `cbor:"11,keyasint,omitempty"` // as in Job
	}
	if err := cbor.Unmarshal(b, &r); err != nil {
		return "", errors.Wrap(err, "decode workspace of a job")
	}
	return r.Workspace, nil
}

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(p *Progress) ([]byte, error) {
	b, err := cbor.Marshal(p)
	return b, errors.Wrap(err, "encode progress")
}

// DecodeProgress decodes the stored form of a job's progress.
func DecodeProgress(b []byte) (*Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(b, &p); err != nil {
		return nil, errors.Wrap(err, "decode progress")
	}
	if p.Outcome < Open || p.Outcome > Cancelled {
		return nil, errors.Errorf("decode progress: outcome %d out of range", p.Outcome)
	}
	if err := p.Complete.check(); err != nil {
		return nil, errors.Wrap(err, "decode progress: complete occurrences")
	}
	return &p, nil
}
