package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/pkg/errors"
)

// Runners starts and stops runners at the control address of a host.
type Runners interface {
	Start(ctx context.Context, control netip.AddrPort, id, service string, slots int) (netip.AddrPort, error)
	// Stop returns after the runner has finished its requests.
	Stop(ctx context.Context, control netip.AddrPort, id string) error
}

// Remote implements Runners by HTTP calls to backend stand-ins.
type Remote struct {
	Client http.Client
}

// Launch is the body of POST /tasks at a control address.
type Launch struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
}

// Launched is the response to a Launch.
type Launched struct {
	Addr netip.AddrPort `json:"addr"`
}

// Start implements Runners.
func (rm *Remote) Start(ctx context.Context, control netip.AddrPort, id, service string, slots int) (netip.AddrPort, error) {
	var launched Launched
	err := rm.do(ctx, http.MethodPost, control, "/tasks", Launch{id, service, slots}, &launched)
	return launched.Addr, errors.Wrapf(err, "start task %s at %s", id, control)
}

// Stop implements Runners.
func (rm *Remote) Stop(ctx context.Context, control netip.AddrPort, id string) error {
	err := rm.do(ctx, http.MethodDelete, control, "/tasks/"+url.PathEscape(id), nil, nil)
	return errors.Wrapf(err, "stop task %s at %s", id, control)
}

func (rm *Remote) do(ctx context.Context, method string, control netip.AddrPort, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control.String()+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := rm.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	const maxResponse = 64 << 10
	if b, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse)); err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("status %d: %s", resp.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}
