package etcd

import (
	"context"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
)

// hostList caches the host list with its entity tag.
type hostList struct {
	mu    sync.Mutex
	tag   string
	hosts []Host
}

// Hosts returns the platform's host list, which lags behind the actual state.
// Callers must not change it. The list of 1,100 hosts takes 200 KB and is read
// every second, so the request is conditional: the list is sent only if it has
// changed.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	var hosts []Host
	tag := c.list.tag
	err := c.call(ctx, request{kind: gateway.Read, op: "list", key: "hosts", method: http.MethodGet, path: []string{"hosts"}, tag: &tag}, &hosts)
	var status *gateway.StatusError
	switch {
	case errors.As(err, &status) && status.HTTP == http.StatusNotModified:
		return c.list.hosts, nil
	case err != nil:
		return nil, err
	}
	c.list.tag, c.list.hosts = tag, hosts
	return hosts, nil
}

// Reboot restarts a host, which must not run a task.
func (c *Client) Reboot(ctx context.Context, host string) error {
	return c.call(ctx, request{kind: gateway.Write, op: "reboot", key: host, method: http.MethodPost, path: []string{"hosts", host, "reboot"}}, nil)
}
