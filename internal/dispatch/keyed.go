package dispatch

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
)

// claimer asks the homes of keys. See package claim.
type claimer interface {
	Claim(ctx context.Context, key claim.Key) claim.Decision
	Report(ctx context.Context, g claim.Grant, outcome backend.Outcome, kept []byte) error
}

// runKeyed runs a job whose key allows one run.
func (d *Dispatcher) runKeyed(ctx context.Context, j *Job) Result {
	key, err := claim.ParseKey(j.Key)
	if err != nil {
		return Result{Outcome: backend.NotRun, Reason: "key"}
	}
	if d.Claims == nil {
		return Result{Outcome: backend.Unknown, Undecided: true, Reason: "key-unclaimed"}
	}
	claimCtx, cancel := context.WithDeadline(ctx, j.Request.Deadline)
	dec := d.Claims.Claim(claimCtx, key)
	cancel()
	d.recordClaim(j, dec.Verdict)
	if dec.Verdict != claim.Granted {
		return undecided(j, &dec)
	}
	res := d.run(ctx, j)
	// The home needs the report whether or not the caller still waits.
	if err := d.Claims.Report(context.WithoutCancel(ctx), dec.Grant, res.Outcome, keep(j, &res)); err != nil {
		// The key stays granted at its home, so it cannot run again.
		d.warn("outcome of the key is not reported", j, err)
	}
	return res
}

// undecided is the result of a job whose key is not granted to it.
func undecided(j *Job, dec *claim.Decision) Result {
	res := Result{Outcome: backend.Unknown, Reason: "key-" + dec.Verdict.String()}
	switch dec.Verdict {
	case claim.Full:
		// The home knows that the key never ran.
		res.Outcome = backend.NotRun
	case claim.Running, claim.TooOld, claim.Future:
		res.Conflict = true
	case claim.Answered:
		switch s := kept(dec.Response); {
		case s == nil:
			res.Conflict = true
		case s.Print != fingerprint(j):
			res.Conflict, res.Reason = true, "key-other-request"
		default:
			res.Outcome, res.Response, res.Replayed = backend.Answered, s.Answer, true
		}
	default:
		res.Undecided = true
	}
	return res
}

// stored is an answer as the key's home keeps it. Print tells whether a later
// request with the key is the same one: another request must not get this
// answer.
type stored struct {
	Print  uint64            `cbor:"1,keyasint"`
	Answer *backend.Response `cbor:"2,keyasint"`
}

// fingerprint identifies what a job asks for.
func fingerprint(j *Job) uint64 {
	h := xxhash.New()
	for _, s := range []string{j.Service, j.Request.Method, j.Request.Target} {
		_, _ = h.WriteString(s + "\n")
	}
	_, _ = h.Write(j.Request.Body)
	return h.Sum64()
}

// keep encodes an answer for the key's home; nil when there is none.
func keep(j *Job, res *Result) []byte {
	if res.Response == nil {
		return nil
	}
	b, err := cbor.Marshal(stored{fingerprint(j), res.Response})
	if err != nil {
		return nil
	}
	return b
}

// kept decodes what keep encoded; nil when nothing usable was stored.
func kept(b []byte) *stored {
	if len(b) == 0 {
		return nil
	}
	s := new(stored)
	if err := cbor.Unmarshal(b, s); err != nil || s.Answer == nil {
		return nil
	}
	return s
}

func (d *Dispatcher) warn(msg string, j *Job, err error) {
	if d.Logger != nil {
		d.Logger.Log("msg", msg, "request", j.Request.ID, "key", j.Key, "err", err)
	}
}
