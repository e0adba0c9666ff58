package wire

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/peer/message"
)

// Path is the URL path at which a daemon accepts links.
const Path = "/peer"

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 3 * time.Second
)

// ErrSelf is returned if a daemon has dialed itself.
var ErrSelf = errors.New("peer is this daemon itself")

var errNotLoopback = errors.New("a link without a secret needs loopback addresses")

// Counters is published as "peer". Bytes are counted as WebSocket frames with
// their headers, without the headers of TCP and IP.
var Counters = expvar.NewMap("peer")

// Names of the counters in Counters.
const (
	Sent          = "sent"
	SentBytes     = "sent_bytes"
	Received      = "received"
	ReceivedBytes = "received_bytes"
	Skipped       = "skipped"
	Links         = "links"
	Overflows     = "overflows"
	Oversized     = "oversized"
)

// Endpoint opens and accepts connections for one daemon.
type Endpoint struct {
	Self message.Daemon
	// Secret authenticates both ends. It may be empty only if both are loopback
	// addresses.
	Secret []byte
	// Dial opens connections. If nil, the Endpoint uses TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// Conn is a connection whose ends have authenticated each other.
type Conn struct {
	Peer message.Daemon
	// Dialed is set at the end that dialed. That end masks its frames.
	Dialed bool
	ws     *websocket.Conn
}

// Connect dials an address and authenticates the daemon there.
func (e *Endpoint) Connect(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	if len(e.Secret) == 0 && !addr.Addr().Unmap().IsLoopback() {
		return nil, errors.Wrapf(errNotLoopback, "dial %s", addr)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ws, err := e.open(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	c := &Conn{ws: ws, Dialed: true}
	if err := e.handshake(ctx, c, dialing); err != nil {
		c.Close()
		return nil, errors.Wrapf(err, "dial %s", addr)
	}
	return c, nil
}

// open dials the connection itself, not through the HTTP client: http.Transport
// continues a dial that has started after the context of its request has ended.
func (e *Endpoint) open(ctx context.Context, addr netip.AddrPort) (*websocket.Conn, error) {
	dial := e.Dial
	if dial == nil {
		dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr.String())
		}
	}
	c, err := dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	t := &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(context.Context, string, string) (net.Conn, error) { return c, nil },
	}
	opts := &websocket.DialOptions{HTTPClient: &http.Client{Transport: t}}
	ws, _, err := websocket.Dial(ctx, "ws://"+addr.String()+Path, opts) //nolint:bodyclose // Dial closes it
	if err != nil {
		_ = c.Close() // the first error is returned
		return nil, err
	}
	return ws, nil
}

// Accept upgrades a request and authenticates its sender. If it returns an
// error, it has written a response.
func (e *Endpoint) Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if len(e.Secret) == 0 && (local == nil || !bothLoopback(local.String(), r.RemoteAddr)) {
		http.Error(w, errNotLoopback.Error(), http.StatusForbidden)
		return nil, errors.Wrapf(errNotLoopback, "accept %s", r.RemoteAddr)
	}
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "accept %s", r.RemoteAddr)
	}
	c := &Conn{ws: ws}
	if err := e.handshake(r.Context(), c, accepting); err != nil {
		c.Close()
		return nil, errors.Wrapf(err, "accept %s", r.RemoteAddr)
	}
	return c, nil
}

func (e *Endpoint) handshake(ctx context.Context, c *Conn, dir direction) error {
	c.ws.SetReadLimit(message.MaxHelloSize)
	d, err := handshake(ctx, c, e.Self, e.Secret, dir)
	if err != nil {
		return err
	}
	if d.Incarnation == e.Self.Incarnation {
		return ErrSelf
	}
	c.Peer = d
	c.ws.SetReadLimit(message.MaxPlanSize)
	return nil
}

// Close closes the connection without a closing handshake.
func (c *Conn) Close() {
	_ = c.ws.CloseNow() // returns an error only if already closed
}

// Write sends one message within a deadline.
func (c *Conn) Write(ctx context.Context, m message.Message) error {
	b, err := message.Encode(m)
	if err != nil {
		return err
	}
	return c.WriteFrame(ctx, b)
}

// WriteFrame sends one encoded message within a deadline.
func (c *Conn) WriteFrame(ctx context.Context, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return errors.Wrap(err, "write message")
	}
	Counters.Add(Sent, 1)
	Counters.Add(SentBytes, frameSize(len(b), c.Dialed))
	return nil
}

// Read returns the next message, or message.ErrUnknownType for one that must be
// skipped. The deadline is that of ctx.
func (c *Conn) Read(ctx context.Context) (message.Message, error) {
	typ, r, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	if typ != websocket.MessageBinary {
		return nil, errors.New("read message: not a binary message")
	}
	b, err := message.ReadFrame(r)
	if err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	Counters.Add(Received, 1)
	Counters.Add(ReceivedBytes, frameSize(len(b), !c.Dialed))
	return message.Decode(b)
}

// frameSize returns the size in bytes of a WebSocket frame with n bytes of
// payload.
func frameSize(n int, masked bool) int64 {
	head := 2
	switch {
	case n > 1<<16-1:
		head += 8
	case n > 125:
		head += 2
	}
	if masked {
		head += 4
	}
	return int64(head + n)
}
