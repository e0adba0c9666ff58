package soak

import (
	"context"
	"net"
)

// incarnationKey is the context key of the incarnation that accepted a
// connection.
type incarnationKey struct{}

// connContext records the incarnation that accepted a connection: data in
// transit to one incarnation does not reach the next.
func (r *runnerServer) connContext(ctx context.Context, _ net.Conn) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return context.WithValue(ctx, incarnationKey{}, r.incarnation)
}
