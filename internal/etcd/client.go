package etcd

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// Size limits.
const (
	MaxValueSize = 1 << 20 // bytes
	maxBody      = 8 << 20 // bytes of one response
)

// Defaults of Client.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultWatchIdleTimeout = 30 * time.Second
)

// Client calls the platform. It must not be copied after the first call.
type Client struct {
	URL  *url.URL
	Zone string
	// Timeout bounds every call but Watch and StopTask, and the wait for the
	// first message of a Watch.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may receive no further message before
	// it is cancelled. It detects a server that no longer runs.
	WatchIdleTimeout time.Duration
	// Budget limits the calls per second.
	Budget gateway.Budget

	once      sync.Once
	exchanger *gateway.Exchanger
	list      hostList
}

// request is one call: its operation and object, for errors, and its HTTP form.
type request struct {
	kind    gateway.Kind
	op, key string
	method  string
	path    []string
	query   url.Values
	body    any
	tag     *string
}

func (c *Client) init() {
	c.once.Do(func() {
		if c.Timeout == 0 {
			c.Timeout = DefaultTimeout
		}
		if c.WatchIdleTimeout == 0 {
			c.WatchIdleTimeout = DefaultWatchIdleTimeout
		}
		c.exchanger = gateway.NewExchanger(c.Budget)
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.exchanger.Close()
}

// call makes one call, bounded by Timeout.
func (c *Client) call(ctx context.Context, q request, out any) error {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.callUntilDone(ctx, q, out)
}

// callUntilDone makes one call, bounded by ctx only.
func (c *Client) callUntilDone(ctx context.Context, q request, out any) error {
	c.init()
	sent, err := c.exchanger.Do(ctx, c.gatewayRequest(q), out, maxBody)
	return q.outcome(sent, err)
}

func (c *Client) gatewayRequest(q request) gateway.Request {
	u := c.URL.JoinPath(q.path...)
	u.RawQuery = q.query.Encode()
	return gateway.Request{Kind: q.kind, Method: q.method, URL: u, Zone: c.Zone, Body: q.body, Tag: q.tag}
}

// outcome returns the error of a call: an *UnknownError if a call that changes
// something was sent and not provably rejected.
func (q request) outcome(sent bool, err error) error {
	if err == nil {
		return nil
	}
	var status *gateway.StatusError
	rejected := errors.As(err, &status) && status.Rejected()
	if sent && !rejected && q.kind.Changes() {
		gateway.CountUnknown()
		return &UnknownError{Op: q.op, Key: q.key, Err: err}
	}
	return errors.Wrapf(err, "%s %s", q.op, q.key)
}
