package etcd

import (
	"context"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// Bounds of sizes.
const (
	MaxValueSize = 1 << 20 // bytes
	maxBody      = 8 << 20 // bytes of one answer
)

// Defaults of Client.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultWatchIdleTimeout = 30 * time.Second
)

// Client talks to the platform. It must not be copied after the first call.
type Client struct {
	URL  *url.URL
	Zone string
	// Timeout bounds every call but Watch and StopTask.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may stay without a message before it is
	// broken off; a peer that no longer runs is found by it.
	WatchIdleTimeout time.Duration
	// Budget bounds the calls a second.
	Budget gateway.Budget

	once sync.Once
	x    *gateway.Exchanger
	list hostList
}

// request is one call: what it does and to which object, and its HTTP form.
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
		c.x = gateway.NewExchanger(c.Budget)
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.init()
	c.x.Close()
}

// call makes one call within the timeout.
func (c *Client) call(ctx context.Context, q request, out any) error {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.long(ctx, q, out)
}

// long makes one call within ctx only.
func (c *Client) long(ctx context.Context, q request, out any) error {
	c.init()
	sent, err := c.x.Do(ctx, c.wire(q), out, maxBody)
	return q.outcome(sent, err)
}

func (c *Client) wire(q request) gateway.Request {
	u := c.URL.JoinPath(q.path...)
	u.RawQuery = q.query.Encode()
	return gateway.Request{Kind: q.kind, Method: q.method, URL: u, Zone: c.Zone, Body: q.body, Tag: q.tag}
}

// outcome makes the error of a call.
func (q request) outcome(sent bool, err error) error {
	if err == nil {
		return nil
	}
	var status *gateway.StatusError
	refused := errors.As(err, &status) && status.Refused()
	if sent && !refused && q.kind.Changes() {
		gateway.CountUnknown()
		return &UnknownError{Op: q.op, Key: q.key, Err: err}
	}
	return errors.Wrapf(err, "%s %s", q.op, q.key)
}
