package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of a Client.
const (
	defaultMaxConns    = 60
	defaultMaxBody     = 8 << 20
	defaultMaxHeader   = 64 << 10
	defaultIdleTimeout = 30 * time.Second
)

// Errors of getting a connection.
var (
	errClosed      = errors.New("backend client closed")
	errConnections = errors.New("connection limit of the runner reached")
)

// Client exchanges requests and responses with runners over keep-alive
// connections. The zero value is ready to use. It never sends a request twice.
type Client struct {
	// MaxConns is the maximum number of connections to one runner, 60 if zero.
	MaxConns int
	// MaxBody is the maximum size of a response's body in bytes, 8 MB if zero.
	MaxBody int64
	// MaxHeader is the maximum size of a response's header in bytes, 64 KB if
	// zero.
	MaxHeader int64
	// IdleTimeout is how long an idle connection is kept open, 30 s if zero.
	IdleTimeout time.Duration
	// Dial opens a connection. If nil, the Client uses TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	mu      sync.Mutex
	runners map[netip.AddrPort]*connections // guarded by mu
	open    int                             // guarded by mu
	closed  bool                            // guarded by mu
	done    chan struct{}                   // guarded by mu
}

// connections are the connections to one runner.
type connections struct {
	open int
	idle []*conn // the most recently used one is last
}

// Close rejects further exchanges and closes idle connections. Exchanges in
// progress continue; Done reports when they have ended.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, r := range c.runners {
		for _, cn := range r.idle {
			_ = cn.SetReadDeadline(past)
		}
	}
	c.finish()
}

// Done returns a channel that is closed when the Client is closed and has no
// connection left.
func (c *Client) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		c.finish()
	}
	return c.done
}

// finish closes the done channel once the last connection has ended. The caller
// must hold mu.
func (c *Client) finish() {
	if !c.closed || c.open > 0 || c.done == nil {
		return
	}
	select {
	case <-c.done:
	default:
		close(c.done)
	}
}

// get returns an idle connection to the runner, or a new one.
func (c *Client) get(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	for {
		cn, err := c.reserve(addr)
		if err != nil {
			return nil, err
		}
		if cn == nil {
			return c.dial(ctx, addr)
		}
		if cn.endWatch() {
			return cn, nil
		}
		c.drop(cn)
	}
}

// reserve removes and returns an idle connection. If there is none, it returns
// nil and counts the connection that its caller then opens.
func (c *Client) reserve(addr netip.AddrPort) (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errClosed
	}
	r := c.runners[addr]
	if r == nil {
		if c.runners == nil {
			c.runners = make(map[netip.AddrPort]*connections)
		}
		r = new(connections)
		c.runners[addr] = r
	}
	if n := len(r.idle); n > 0 {
		cn := r.idle[n-1]
		r.idle = r.idle[:n-1]
		return cn, nil
	}
	limit := c.MaxConns
	if limit == 0 {
		limit = defaultMaxConns
	}
	if r.open >= limit {
		return nil, errConnections
	}
	r.open++
	c.open++
	return nil, nil
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		c.release(addr)
		return nil, errors.Wrapf(err, "connect to runner %v", addr)
	}
	return newConn(nc, addr), nil
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// put adds a connection to the idle ones and watches it until the next
// exchange.
func (c *Client) put(cn *conn) {
	idle := c.IdleTimeout
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	if err := cn.SetDeadline(time.Now().Add(idle)); err != nil {
		c.drop(cn)
		return
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		c.drop(cn)
		return
	}
	r := c.runners[cn.addr]
	r.idle = append(r.idle, cn)
	c.mu.Unlock()
	go func() {
		usable := cn.watch()
		if c.removeIdle(cn) {
			c.drop(cn)
			return
		}
		cn.watched <- usable
	}()
}

// removeIdle removes an idle connection. It returns false if an exchange has
// acquired the connection first.
func (c *Client) removeIdle(cn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runners[cn.addr]
	if r == nil {
		return false
	}
	for i, other := range r.idle {
		if other == cn {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			return true
		}
	}
	return false
}

// drop closes a connection that its caller owns.
func (c *Client) drop(cn *conn) {
	_ = cn.Close()
	c.release(cn.addr)
}

// release decrements the number of open connections to a runner.
func (c *Client) release(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runners[addr]
	r.open--
	if r.open == 0 {
		delete(c.runners, addr)
	}
	c.open--
	c.finish()
}
