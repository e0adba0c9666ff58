package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/claim/owner"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

const (
	// claimTimeout is the timeout of a claim, after which the verdict is Unknown.
	claimTimeout = 2 * time.Second
	// retryInterval is the interval at which a claim is sent again, possibly on a
	// new link.
	retryInterval = 500 * time.Millisecond
)

// Sender sends messages to a daemon incarnation. *peer.Mesh implements it.
type Sender interface {
	Send(incarnation string, m message.Message) error
}

// Claimer claims keys for the requests of this daemon, and decides the claims of
// all daemons for the keys that this daemon owns.
type Claimer struct {
	// Self is the incarnation of this daemon.
	Self   string
	Mesh   Sender
	Store  etcd.Store
	Logger log.Logger

	once   sync.Once
	finder *owner.Finder
	done   chan struct{}

	mu    sync.Mutex
	table Table
	calls calls
}

func (c *Claimer) init() {
	c.once.Do(func() {
		if c.Logger == nil {
			c.Logger = log.NewNopLogger()
		}
		c.Logger = log.With(c.Logger, "part", "claim")
		c.table.Self = c.Self
		c.finder = owner.New(c.Self, c.Store, c.Logger)
		c.done = make(chan struct{})
	})
}

// Run finds the owners of callers' own keys until ctx is done.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	c.finder.Run(ctx)
	return nil
}

// Done returns a channel that is closed when Run has returned.
func (c *Claimer) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Claim requests from the owner of a key the right to run its request. The verdict
// is Unknown if the owner cannot be found or reached, or if its decision is not
// received in time. A grant does not expire: the caller of Claim holds it until
// Report.
func (c *Claimer) Claim(ctx context.Context, key Key) Decision {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, incarnation := c.decide(ctx, key)
	c.Logger.Log("msg", "claim completed", "key", key.ID, "home", incarnation, "verdict", d.Verdict)
	return d
}

func (c *Claimer) decide(ctx context.Context, key Key) (Decision, string) {
	if v := checkAge(time.Now(), key); v != Granted {
		return Decision{Verdict: v}, key.Owner
	}
	if key.Owner == "" {
		if d, ok := c.claimRecorded(key); ok {
			return d, c.Self
		}
		incarnation, err := c.finder.Find(ctx, key.ID)
		if err != nil {
			c.Logger.Log("msg", "key owner lookup failed", "key", key.ID, "err", err)
			return Decision{Verdict: Unknown}, ""
		}
		key.Owner = incarnation
	}
	if key.Owner == c.Self {
		return c.claimLocal(key), key.Owner
	}
	return c.claimRemote(ctx, key), key.Owner
}

// claimRecorded decides the claim of a caller's own key that the table already
// contains, without using the key-value store.
func (c *Claimer) claimRecorded(key Key) (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.table.Has(key.ID) {
		return Decision{}, false
	}
	return c.claimLocked(key), true
}

func (c *Claimer) claimLocal(key Key) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claimLocked(key)
}

// claimLocked claims a key from the local table with a new call. The caller must
// hold mu.
func (c *Claimer) claimLocked(key Key) Decision {
	key.Owner = c.Self
	c.calls.last++
	return c.table.Claim(time.Now(), key, Holder{Incarnation: c.Self, Call: c.calls.last})
}

// claimRemote claims a key from another daemon. It repeats the claim with the same
// call number, since the claim or its grant may have been lost with a link.
func (c *Claimer) claimRemote(ctx context.Context, key Key) Decision {
	c.mu.Lock()
	call := c.calls.start(key)
	c.mu.Unlock()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		if err := c.Mesh.Send(key.Owner, message.Claim{Call: call.id, Key: key.String()}); err != nil {
			c.Logger.Log("msg", "claim not sent", "key", key.ID, "err", err)
			return c.abandonCall(call)
		}
		select {
		case d := <-call.result:
			return d
		case <-retry.C:
		case <-ctx.Done():
			return c.abandonCall(call)
		}
	}
}

// abandonCall abandons a call unless its result has been received concurrently.
func (c *Claimer) abandonCall(call *call) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case d := <-call.result:
		return d
	default:
	}
	c.calls.abandon(call)
	return Decision{Verdict: Unknown}
}

// Report sends the outcome of a grant and the response to store to the owner. It is
// sent even if ctx is done, since most requests that do not run end because their
// ctx is done. After an error, or if the message is lost, the key stays granted and
// later attempts get Running, never not-run.
func (c *Claimer) Report(_ context.Context, g Grant, outcome backend.Outcome, response []byte) error {
	c.init()
	if len(response) > MaxStoredResponse {
		response = nil
	}
	if g.Key.Owner == c.Self {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.table.Report(time.Now(), g.Key, g.Token, outcome, response)
		return nil
	}
	m := message.Report{Key: g.Key.String(), Token: g.Token, Outcome: uint8(outcome), Response: response}
	return errors.Wrapf(c.Mesh.Send(g.Key.Owner, m), "report outcome of key %s", g.Key.ID)
}

// Receive handles the claim messages of a peer and ignores all others.
func (c *Claimer) Receive(from message.Daemon, m message.Message) {
	c.init()
	var err error
	switch m := m.(type) {
	case message.Claim:
		err = c.receiveClaim(from.Incarnation, m)
	case message.Grant:
		c.mu.Lock()
		unused := c.calls.handleGrant(from.Incarnation, m)
		c.mu.Unlock()
		if unused != nil {
			err = c.Report(context.Background(), *unused, backend.NotRun, nil)
		}
	case message.Report:
		err = c.receiveReport(m)
	}
	if err != nil {
		c.Logger.Log("msg", "claim message failed", "from", from.Incarnation, "err", err)
	}
}

func (c *Claimer) receiveClaim(from string, m message.Claim) error {
	key, err := ParseKey(m.Key)
	if err != nil {
		return err
	}
	c.mu.Lock()
	d := c.table.Claim(time.Now(), key, Holder{Incarnation: from, Call: m.Call})
	c.mu.Unlock()
	c.Logger.Log("msg", "claim decided", "key", key.ID, "holder", from, "verdict", d.Verdict)
	return c.Mesh.Send(from, message.Grant{Call: m.Call, Verdict: uint8(d.Verdict), Token: d.Grant.Token, Response: d.Response})
}

func (c *Claimer) receiveReport(m message.Report) error {
	key, err := ParseKey(m.Key)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Report(time.Now(), key, m.Token, backend.Outcome(m.Outcome), m.Response)
	return nil
}
