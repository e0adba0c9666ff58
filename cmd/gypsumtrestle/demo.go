package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/examples"
	"gypsumtrestle.example/gypsumtrestle/internal/daemon"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/system"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
)

const (
	demoRunTime      = 5 * time.Millisecond
	demoReadyTimeout = 20 * time.Second
	demoRate         = 100                    // calls per second of each daemon
	demoInterval     = 500 * time.Millisecond // between requests
	demoLinger       = 100 * time.Millisecond
	demoStopTimeout  = 5 * time.Second
)

// demoZones are the zones of the demo, with 49 worker hosts in total.
var demoZones = []system.Zone{
	{Name: "austin", Workers: 17, Entries: []string{"austin1"}},
	{Name: "san-marcos", Workers: 16, Entries: []string{"san-marcos1"}},
	{Name: "waco", Workers: 16, Entries: []string{"waco1"}},
}

type demoCmd struct {
	For time.Duration `help:"End after this time; without it, end with an interrupt." placeholder:"DURATION"`
}

// Run starts the stand-ins and a daemon per zone in this process, sends requests
// and prints the responses.
func (c *demoCmd) Run(ctx context.Context, w io.Writer) error {
	if c.For < 0 {
		return &usageError{"--for", c.For.String(), "a positive duration, such as 10s"}
	}
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	d := &demo{w: w}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	d.traffic(ctx)
	d.stop()
	return d.totals(context.WithoutCancel(ctx))
}

// demo is a complete system in one process.
type demo struct {
	w       io.Writer
	system  *system.System
	daemons []*daemon.Daemon
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.w, format+"\n", args...) }

func (d *demo) start(ctx context.Context) error {
	var err error
	if d.system, err = system.Start(ctx, demoZones, demoRunTime); err != nil {
		return err
	}
	d.printf("platform stand-in: %s", d.system.URL)
	store := &etcd.Client{URL: d.system.URL}
	if _, err := operator.Apply(ctx, store, time.Now(), operator.Edit{Text: examples.Brazos, Author: "demo"}); err != nil {
		return err
	}
	daemonCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	log := logger(d.w)
	for _, z := range demoZones {
		loopback := netip.MustParseAddrPort("127.0.0.1:0")
		dm, err := daemon.New(ctx, daemon.Config{
			Name: z.Entries[0], Zone: z.Name, Caller: loopback, Peer: loopback,
			Platform: d.system.URL, Writes: demoRate, Reads: demoRate, Linger: demoLinger, StopTimeout: demoStopTimeout, Logger: log,
		})
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, dm)
		d.printf("daemon %s: callers at http://%s", dm.Self().Name, dm.Self().CallerAddr)
		d.wg.Go(func() {
			if err := dm.Run(daemonCtx); err != nil {
				d.printf("daemon %s: %v", dm.Self().Name, err)
			}
		})
	}
	return d.awaitReady(ctx)
}

// awaitReady waits until every daemon is ready and every pool has a runner.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for {
		if d.allServing(ctx) {
			d.printf("all daemons are ready")
			return nil
		}
		select {
		case <-time.After(demoInterval / 5):
		case <-ctx.Done():
			return errors.New("daemons did not become ready")
		}
	}
}

func (d *demo) allServing(ctx context.Context) bool {
	for _, dm := range d.daemons {
		s, err := operator.GetStatus(ctx, http.DefaultClient, dm.Self().CallerAddr)
		if err != nil || !s.Ready {
			return false
		}
		for _, p := range s.Pools {
			if p.Serving < p.Wanted {
				return false
			}
		}
	}
	return true
}

// traffic sends requests until ctx ends.
func (d *demo) traffic(ctx context.Context) {
	services := []string{"ascent", "setline", "beta", "crew", "front-desk"}
	for i := 0; ctx.Err() == nil; i++ {
		dm := d.daemons[i%len(d.daemons)].Self()
		base := "http://" + dm.CallerAddr.String()
		service := services[i%len(services)]
		if i%2 == 0 {
			d.send(ctx, http.MethodGet, base+"/"+service+"/sheets/7", "")
		} else {
			key, err := mint(ctx, base)
			if err != nil {
				continue
			}
			d.send(ctx, http.MethodPost, base+"/"+service+"/sends", key)
			// A repeated key gets the stored response and does not run again.
			d.send(ctx, http.MethodPost, base+"/"+service+"/sends", key)
		}
		select {
		case <-time.After(demoInterval):
		case <-ctx.Done():
		}
	}
}

func mint(ctx context.Context, base string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/key", nil)
	if err != nil {
		return "", errors.Wrap(err, "mint key")
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", errors.Wrap(err, "mint key")
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	return string(b), errors.Wrap(err, "mint key")
}

func (d *demo) send(ctx context.Context, method, target, key string) {
	r, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(""))
	if err != nil {
		return
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return // the demo has ended
	}
	defer func() { _ = res.Body.Close() }()
	body, _ := io.ReadAll(io.LimitReader(res.Body, 1<<10))
	d.printf("%s %s: %d in %s: %s", method, r.URL.Path, res.StatusCode, time.Since(start).Round(10*time.Microsecond), strings.TrimSpace(string(body)))
}

// stop shuts down all daemons and waits until they have stored their totals.
func (d *demo) stop() {
	d.cancel()
	d.wg.Wait()
}

func (d *demo) totals(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoStopTimeout)
	defer cancel()
	rows, err := totals.Read(ctx, &etcd.Client{URL: d.system.URL}, "", "")
	if err != nil {
		return err
	}
	return totals.Write(d.w, rows)
}

func (d *demo) close() {
	if d.cancel != nil {
		d.stop()
	}
	if d.system != nil {
		d.system.Close()
	}
}
