package dispatch

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
)

// claimer sends claims and reports to the owners of keys; see package claim.
type claimer interface {
	Claim(ctx context.Context, key claim.Key) claim.Decision
	Report(ctx context.Context, g claim.Grant, outcome backend.Outcome, response []byte) error
}

// runKeyed runs a job with an idempotency key, if the owner of the key grants it,
// and reports the outcome to the owner.
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
		return notGrantedResult(j, &dec)
	}
	res := d.run(ctx, j)
	// The owner needs the report even if the caller no longer waits.
	if err := d.Claims.Report(context.WithoutCancel(ctx), dec.Grant, res.Outcome, encodeStored(j, &res)); err != nil {
		// The key stays granted at its owner, so it cannot run again.
		d.warn("key outcome report failed", j, err)
	}
	return res
}

// notGrantedResult returns the result of a job whose key was not granted.
func notGrantedResult(j *Job, dec *claim.Decision) Result {
	res := Result{Outcome: backend.Unknown, Reason: "key-" + dec.Verdict.String()}
	switch dec.Verdict {
	case claim.Full:
		// The owner reports this only for a key that never ran.
		res.Outcome = backend.NotRun
	case claim.Running, claim.TooOld, claim.Future:
		res.Conflict = true
	case claim.Answered:
		switch s := decodeStored(dec.Response); {
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

// stored is a response as it is stored at the owner of the key. Print is the
// fingerprint of the request: a different request with the same key must not
// get this response.
type stored struct {
	Print  uint64            `cbor:"1,keyasint"`
	Answer *backend.Response `cbor:"2,keyasint"`
}

// fingerprint returns a hash of the service, method, target and body of a job.
func fingerprint(j *Job) uint64 {
	h := xxhash.New()
	for _, s := range []string{j.Service, j.Request.Method, j.Request.Target} {
		_, _ = h.WriteString(s + "\n")
	}
	_, _ = h.Write(j.Request.Body)
	return h.Sum64()
}

// encodeStored encodes the response for the key's owner; nil if there is none.
func encodeStored(j *Job, res *Result) []byte {
	if res.Response == nil {
		return nil
	}
	b, err := cbor.Marshal(stored{fingerprint(j), res.Response})
	if err != nil {
		return nil
	}
	return b
}

// decodeStored decodes a stored response; nil if there is none or it is invalid.
func decodeStored(b []byte) *stored {
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
