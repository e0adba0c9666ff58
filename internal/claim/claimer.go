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
	// claimTimeout bounds a claim; after it the verdict is Unknown.
	claimTimeout = 2 * time.Second
	// askEvery is how often a home is asked again, on a new link perhaps.
	askEvery = 500 * time.Millisecond
)

// Sender sends messages to a daemon incarnation; *peer.Mesh is one.
type Sender interface {
	Send(incarnation string, m message.Message) error
}

// Claimer claims keys for the requests of this daemon, and decides the claims
// of all daemons for the keys whose home it is.
type Claimer struct {
	// Self is the incarnation of this daemon.
	Self   string
	Mesh   Sender
	Store  etcd.Store
	Logger log.Logger

	once  sync.Once
	homes *owner.Finder
	done  chan struct{}

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
		c.homes = owner.New(c.Self, c.Store, c.Logger)
		c.done = make(chan struct{})
	})
}

// Run finds the homes of callers' own keys until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	c.homes.Run(ctx)
	return nil
}

// Done returns a channel that closes when Run has ended.
func (c *Claimer) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Claim asks the home of a key for the right to run its request. Whatever it
// cannot find out in time is Unknown. A grant has no lease: it stays with the
// caller of Claim until Report.
func (c *Claimer) Claim(ctx context.Context, key Key) Decision {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	d, at := c.decide(ctx, key)
	c.Logger.Log("msg", "key is claimed", "key", key.ID, "home", at, "verdict", d.Verdict)
	return d
}

func (c *Claimer) decide(ctx context.Context, key Key) (Decision, string) {
	if v := age(time.Now(), key); v != Granted {
		return Decision{Verdict: v}, key.Owner
	}
	if key.Owner == "" {
		if d, ok := c.repeated(key); ok {
			return d, c.Self
		}
		at, err := c.homes.Find(ctx, key.ID)
		if err != nil {
			c.Logger.Log("msg", "home is not known", "key", key.ID, "err", err)
			return Decision{Verdict: Unknown}, ""
		}
		key.Owner = at
	}
	if key.Owner == c.Self {
		return c.local(key), key.Owner
	}
	return c.remote(ctx, key), key.Owner
}

// repeated decides a caller's own key that the table already holds, without
// the platform.
func (c *Claimer) repeated(key Key) (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.table.Has(key.ID) {
		return Decision{}, false
	}
	return c.claimLocal(key), true
}

func (c *Claimer) local(key Key) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claimLocal(key)
}

// claimLocal makes a new call of this daemon. The caller holds mu.
func (c *Claimer) claimLocal(key Key) Decision {
	key.Owner = c.Self
	c.calls.last++
	return c.table.Claim(time.Now(), key, Holder{Incarnation: c.Self, Call: c.calls.last})
}

// remote asks another daemon. It asks again with the same call number, since
// the claim or its grant may have been lost with a link.
func (c *Claimer) remote(ctx context.Context, key Key) Decision {
	c.mu.Lock()
	call := c.calls.start(key)
	c.mu.Unlock()
	again := time.NewTicker(askEvery)
	defer again.Stop()
	for {
		if err := c.Mesh.Send(key.Owner, message.Claim{Call: call.id, Key: key.String()}); err != nil {
			c.Logger.Log("msg", "home is not asked", "key", key.ID, "err", err)
			return c.giveUp(call)
		}
		select {
		case d := <-call.result:
			return d
		case <-again.C:
		case <-ctx.Done():
			return c.giveUp(call)
		}
	}
}

// giveUp abandons a call unless its result has just arrived.
func (c *Claimer) giveUp(call *call) Decision {
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

// Report tells the home how a grant ended, with the response to store. The end
// of ctx does not withhold the report: that is when most requests end without
// having run. After an error, or if the message is lost, the key stays granted
// and later attempts get Running, never not-run.
func (c *Claimer) Report(_ context.Context, g Grant, outcome backend.Outcome, kept []byte) error {
	c.init()
	if len(kept) > MaxStoredResponse {
		kept = nil
	}
	if g.Key.Owner == c.Self {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.table.Report(time.Now(), g.Key, g.Token, outcome, kept)
		return nil
	}
	m := message.Report{Key: g.Key.String(), Token: g.Token, Outcome: uint8(outcome), Response: kept}
	return errors.Wrapf(c.Mesh.Send(g.Key.Owner, m), "report key %s", g.Key.ID)
}

// Receive takes the claim messages of a peer and ignores all others.
func (c *Claimer) Receive(from message.Daemon, m message.Message) {
	c.init()
	var err error
	switch m := m.(type) {
	case message.Claim:
		err = c.receiveClaim(from.Incarnation, m)
	case message.Grant:
		c.mu.Lock()
		unused := c.calls.answer(from.Incarnation, m)
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
	c.Logger.Log("msg", "claim is decided", "key", key.ID, "holder", from, "verdict", d.Verdict)
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
