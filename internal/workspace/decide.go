package workspace

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// defaultApply is used if the platform does not specify within which time a
	// configuration must be in force.
	defaultApply = 2 * time.Second
	// applyMargin is the part of that time that is reserved for the transmission of
	// the response and for clocks of different rates.
	applyMargin = 250 * time.Millisecond
	// maxKeyBytes bounds the keys that are looked up: it is the longest header
	// that the platform's contract allows.
	maxKeyBytes = 16 << 10
)

// Outcome is what happens to a request.
type Outcome int

// Outcomes.
const (
	Allowed      Outcome = iota
	Unavailable          // 503: the configuration is missing or may be outdated
	NotFound             // 404: there is no such queue
	Unauthorized         // 401: there is no key, or it is not in force
)

func (o Outcome) String() string {
	return [...]string{"allowed", "unavailable", "not found", "unauthorized"}[o]
}

// Reason is the reason of a decision, for logs and metrics.
type Reason string

// Reasons.
const (
	NoConfig     Reason = "no-configuration"
	OldConfig    Reason = "outdated-configuration"
	NoQueue      Reason = "no-queue"
	NoWorkspaces Reason = "no-workspaces" // the configuration has none
	PublicQueue  Reason = "public-queue"
	KeyInForce   Reason = "key-in-force"
	NoKey        Reason = "no-key"
	EmptyKey     Reason = "empty-key"
	SeveralKeys  Reason = "several-keys"
	LongKey      Reason = "long-key"
	UnknownKey   Reason = "unknown-key"
)

// Decision is whether a request may be handled.
type Decision struct {
	Outcome   Outcome
	Reason    Reason
	Workspace *job.Workspace // of the caller; nil if it needs no key
}

// Request is what a decision depends on.
type Request struct {
	Keys   []string    // values of the header Credential
	Queue  *job.Queue  // nil: the configuration has no queue for the request
	Config *job.Config // nil: there is none yet
	// Age is the time since the store was last known to hold no newer configuration.
	Age time.Duration
	// Apply is the time within which a configuration must be in force after it was
	// stored; zero if the platform does not specify it.
	Apply time.Duration
}

// outdated reports whether the store may hold a configuration that must be in force
// already.
func (r *Request) outdated() bool {
	apply := r.Apply
	if apply <= 0 {
		apply = defaultApply
	}
	return r.Age < 0 || r.Age >= max(apply-applyMargin, apply/2)
}

// Decide checks the configuration, the queue and the key of a request, in this order.
// Neither 401 nor 404 is returned by an outdated configuration with workspaces, since a
// newer one may have the key or the queue.
func Decide(r Request) Decision {
	switch {
	case r.Config == nil:
		return Decision{Outcome: Unavailable, Reason: NoConfig}
	case len(r.Config.Workspaces) == 0 && r.Queue == nil:
		return Decision{Outcome: NotFound, Reason: NoQueue}
	case len(r.Config.Workspaces) == 0:
		return Decision{Reason: NoWorkspaces}
	case r.Queue != nil && r.Queue.Public:
		return Decision{Reason: PublicQueue}
	case r.outdated():
		return Decision{Outcome: Unavailable, Reason: OldConfig}
	case r.Queue == nil:
		return Decision{Outcome: NotFound, Reason: NoQueue}
	}
	w, why := check(r.Keys, r.Config)
	if w == nil {
		return Decision{Outcome: Unauthorized, Reason: why}
	}
	return Decision{Reason: why, Workspace: w}
}

// check returns the workspace of the key in the header values, or nil and the reason.
func check(keys []string, c *job.Config) (*job.Workspace, Reason) {
	switch {
	case len(keys) == 0:
		return nil, NoKey
	case len(keys) > 1:
		return nil, SeveralKeys
	case keys[0] == "":
		return nil, EmptyKey
	case len(keys[0]) > maxKeyBytes:
		return nil, LongKey
	}
	if w := c.WorkspaceOf(keys[0]); w != nil {
		return w, KeyInForce
	}
	return nil, UnknownKey
}

// Rejects reports whether the request is rejected for its key or for the age of the
// configuration.
func (d Decision) Rejects() bool { return d.Outcome == Unavailable || d.Outcome == Unauthorized }

// Sees reports whether the caller may query and cancel a job of a workspace. A job
// without a workspace is visible to all. A caller without a key does not see the jobs of
// workspaces; otherwise a public queue would open them to everyone.
func (d Decision) Sees(workspace string) bool {
	switch {
	case d.Outcome != Allowed:
		return false
	case workspace == "" || d.Reason == NoWorkspaces:
		return true
	}
	return d.Workspace != nil && d.Workspace.Name == workspace
}

// Assign sets the workspace of a job that the caller submits.
func (d Decision) Assign(j *job.Job) {
	if d.Workspace == nil {
		return
	}
	l := d.Workspace.Limits()
	j.Workspace, j.Limits = d.Workspace.Name, &l
}
