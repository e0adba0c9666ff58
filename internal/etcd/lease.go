package etcd

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl int64) (int64, error) {
	var resp gateway.Lease
	if err := c.call(ctx, leaseRequest(gateway.Write, "grant", gateway.Lease{TTL: ttl}), &resp); err != nil {
		return 0, err
	}
	if resp.ID == 0 {
		return 0, &UnknownError{Op: "grant", Key: "lease", Err: errors.New("response has no lease ID")}
	}
	return resp.ID, nil
}

// KeepAlive implements Store. It returns ErrNoLease if the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	q := leaseRequest(gateway.KeepAlive, "keepalive", gateway.Lease{ID: lease})
	var resp gateway.Stream[gateway.Lease]
	if err := c.call(ctx, q, &resp); err != nil {
		return noLease(err)
	}
	switch {
	case resp.Result == nil:
		return &UnknownError{Op: q.op, Key: q.key, Err: errors.New("response has no result")}
	case resp.Result.TTL == 0:
		return errors.Wrapf(ErrNoLease, "keepalive lease %d", lease)
	}
	return nil
}

// Revoke implements Store. An expired lease is treated as revoked.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	err := noLease(c.call(ctx, leaseRequest(gateway.Write, "revoke", gateway.Lease{ID: lease}), nil))
	if errors.Is(err, ErrNoLease) {
		return nil
	}
	return err
}

func leaseRequest(k gateway.Kind, op string, l gateway.Lease) request {
	key := "lease"
	if l.ID != 0 {
		key = "lease " + strconv.FormatInt(l.ID, 10)
	}
	return request{kind: k, op: op, key: key, method: http.MethodPost, path: []string{"v3/lease", op}, body: l}
}

// noLease translates the status NotFound to ErrNoLease. Calls that name a lease
// return that status only if the lease does not exist.
func noLease(err error) error {
	var status *gateway.StatusError
	var unknown *UnknownError
	if errors.As(err, &status) && status.Code == gateway.NotFound && !errors.As(err, &unknown) {
		return errors.Wrap(ErrNoLease, status.Message)
	}
	return err
}
