package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

// conn counts the bytes written to a connection. The lock is held during the
// write, so that a count read after the connection was closed is final.
type conn struct {
	net.Conn
	mu   sync.Mutex
	sent int64
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.sent += int64(n)
	return n, err
}

func (c *conn) bytesSent() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// dialer detects a peer that disappeared without closing the connection within
// 11 s, which is before an accepted configuration must be active.
var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
	Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
}}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}
