package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/caller"
	"gypsumtrestle.example/gypsumtrestle/internal/claim"
	"gypsumtrestle.example/gypsumtrestle/internal/dispatch"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/manager"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
	"gypsumtrestle.example/gypsumtrestle/internal/watch"
)

// syncTimeout bounds the wait for peers and platform before a daemon reports
// ready with what it has.
const syncTimeout = 5 * time.Second

// stopMargin is the longest time that the end of a planned stop keeps free for
// writing the last answers.
const stopMargin = time.Second

// Daemon is one entry daemon.
type Daemon struct {
	cfg  Config
	self peer.Daemon

	callers, peers net.Listener

	keeper    *state.Tracker
	platform  *etcd.Client
	client    *backend.Client
	pools     *pool.Table
	mesh      *peer.Mesh
	claims    *claim.Claimer
	manager   *manager.Manager
	budgets   *watch.Budgets
	follower  *watch.Watcher
	confirmer *confirmer
	server    *caller.Server
	counter   *totals.Counter
	hosts     *totals.Hosts
	// trace and closeTrace are nil without a file to record to.
	trace      *trace.Recorder
	closeTrace func() error

	// superseder starts the planned stop; set by Run.
	superseder context.CancelFunc

	done chan struct{}
}

// New checks the settings and opens the listeners.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.defaults()
	inc, err := incarnation(cfg.Name, time.Now())
	if err != nil {
		return nil, err
	}
	d := &Daemon{cfg: cfg, done: make(chan struct{})}
	var lc net.ListenConfig
	if d.callers, err = lc.Listen(ctx, "tcp", cfg.Caller.String()); err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if d.peers, err = lc.Listen(ctx, "tcp", cfg.Peer.String()); err != nil {
		_ = d.callers.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	if err := d.openTrace(inc); err != nil {
		_, _ = d.callers.Close(), d.peers.Close()
		return nil, err
	}
	d.self = peer.Daemon{Name: cfg.Name, Zone: cfg.Zone, Incarnation: inc, Peer: addrOf(d.peers), Caller: addrOf(d.callers)}
	d.assemble()
	return d, nil
}

func addrOf(l net.Listener) netip.AddrPort {
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		panic("a TCP listener has a TCP address")
	}
	return a.AddrPort()
}

// named returns a logger for parts that add their prefix themselves.
func (d *Daemon) named() log.Logger { return log.With(d.cfg.Logger, "daemon", d.cfg.Name) }

// part returns a logger with the fixed prefix of one part.
func (d *Daemon) part(name string) log.Logger {
	return log.With(d.named(), "part", name)
}

// assemble makes the parts and connects them.
func (d *Daemon) assemble() {
	d.keeper = new(state.Tracker)
	d.counter = new(totals.Counter)
	d.hosts = &totals.Hosts{Counter: d.counter, Zone: d.self.Zone, Self: d.self.Incarnation, Clock: d.clock}
	d.keeper.OnMap = d.hosts.CountTransitions
	d.client = new(backend.Client)
	d.platform = &etcd.Client{
		URL: d.cfg.Platform, Zone: d.self.Zone,
		Budget: gateway.Budget{Writes: rate.Limit(d.cfg.Writes), Reads: rate.Limit(d.cfg.Reads)},
	}
	d.pools = &pool.Table{Zone: d.self.Zone, Self: d.self.Incarnation, Picker: &route.Picker{Zone: d.self.Zone}}
	d.mesh = &peer.Mesh{
		Self: d.self, Secret: d.cfg.Secret, Seeds: d.cfg.Seeds, State: d.keeper,
		Handler: d, Logger: d.named(),
	}
	d.claims = &claim.Claimer{Self: d.self.Incarnation, Mesh: d.mesh, Store: d.platform, Logger: d.named()}
	d.manager = &manager.Manager{
		Self: d.self, Store: d.platform, Tasks: d.platform, State: d.keeper, Logger: d.part("manager"),
	}
	d.budgets = &watch.Budgets{
		Store: d.platform, State: d.keeper, Logger: d.part("budget"),
		IsManager: func() bool { return d.manager.Status().IsManager },
	}
	d.manager.ExhaustedBudgets = d.budgets.Exhausted
	d.confirmer = &confirmer{
		keeper: d.keeper, pools: d.pools, picker: d.pools.Picker, send: d.confirm, flushes: make(chan chan struct{}), done: make(chan struct{}),
	}
	d.follower = &watch.Watcher{Store: d.platform, State: d.keeper, OnRegistered: d.mesh.SetRegistered, Logger: d.part("platform")}
	d.server = &caller.Server{
		Dispatch: &dispatch.Dispatcher{
			Pools: d.pools, Exchange: d.client, Claims: d.claims, Trace: d.trace, Logger: d.part("dispatch"),
			OnLeaving: func(host string, now time.Time) { d.keeper.MarkLeaving(host, now) },
		},
		Keeper: d.keeper, Totals: d.counter, Incarnation: d.self.Incarnation, Zone: d.self.Zone,
		Status: d.status, Logger: d.part("caller"), MaxBody: d.cfg.MaxBody,
		MaxHeader: d.cfg.MaxHeader, ReadTimeout: d.cfg.ReadTimeout,
	}
}

// clock returns the time zone whose midnight ends a day of the totals.
func (d *Daemon) clock() *time.Location {
	if t := d.keeper.View().Text; t != nil {
		return t.Clock
	}
	return nil
}

// zoneMap returns the map in force of the daemon's zone, or nil.
func (d *Daemon) zoneMap() *fleet.Map { return d.keeper.View().Maps[d.self.Zone] }

// Self returns the daemon's name, zone and addresses.
func (d *Daemon) Self() peer.Daemon { return d.self }

// Done returns a channel that closes when Run has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until ctx ends and the planned stop is over, or a part fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	d.part("daemon").Log("msg", "started", "zone", d.self.Zone, "incarnation", d.self.Incarnation, "caller", d.self.Caller, "peer", d.self.Peer)
	var g run.Group
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	d.superseder = cancel
	// Parts outlive ctx: they stop when the planned stop has ended.
	parts := context.WithoutCancel(ctx)
	first := make(chan struct{}, 1)
	callers := d.server.HTTP()
	mux := http.NewServeMux()
	mux.Handle("/peer", d.mesh)
	peers := &http.Server{Handler: mux, ReadHeaderTimeout: d.cfg.ReadTimeout}

	add := func(name string, f func(context.Context) error) {
		ctx, cancel := context.WithCancel(parts)
		g.Add(func() error { return errors.Wrap(f(ctx), name) }, func(error) { cancel() })
	}
	d.serve(&g, callers, d.callers)
	d.serve(&g, peers, d.peers)
	add("mesh", d.mesh.Run)
	add("follow", func(ctx context.Context) error { return d.follower.Run(ctx, first) })
	add("register", d.register)
	add("leaving", (&watch.LeavingHosts{Hosts: d.platform, State: d.keeper, Logger: d.part("leaving")}).Run)
	add("load", (&loads{zone: d.self.Zone, pools: d.pools, mesh: d.mesh}).run)
	add("confirm", d.confirmer.run)
	add("claim", d.claims.Run)
	add("manager", d.manager.Run)
	add("totals", (&totals.Writer{Counter: d.counter, Store: d.platform, Incarnation: d.self.Incarnation, Logger: d.part("totals")}).Run)
	add("hosts", func(ctx context.Context) error {
		return d.hosts.Run(ctx, func() bool { return d.manager.Status().IsManager }, d.zoneMap)
	})
	add("budget", d.budgets.Run)
	add("trace", d.record)
	add("ready", func(ctx context.Context) error { return d.becomeReady(ctx, first) })

	g.Add(func() error { return d.stop(stop, callers) }, func(error) { cancel() })
	err := g.Run()
	d.client.Close()
	d.part("daemon").Log("msg", "stopped", "err", err)
	return err
}

func (d *Daemon) serve(g *run.Group, s *http.Server, l net.Listener) {
	closed := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.Addr())
		}
		// A planned stop ends Serve first; the other parts are still needed.
		<-closed
		return nil
	}, func(error) {
		_ = s.Close()
		close(closed)
	})
}

// becomeReady waits for the platform's or the peers' state, and then until the
// zone's map lists this daemon.
func (d *Daemon) becomeReady(ctx context.Context, first <-chan struct{}) error {
	d.settle(ctx, first)
	last := false
	for ctx.Err() == nil {
		changed := d.keeper.Changed()
		v := d.keeper.View()
		ready := v.Text != nil && v.Maps[d.self.Zone] != nil && v.Maps[d.self.Zone].HasMember(d.self.Incarnation)
		if ready != last {
			last = ready
			d.server.SetReady(ready)
			d.part("daemon").Log("msg", "readiness changed", "ready", ready, "text", v.Plan)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// settle waits until the peers have told their versions and the platform was
// read once, so that a restarted daemon does not serve an older text.
func (d *Daemon) settle(ctx context.Context, first <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	select {
	case <-first:
	case <-ctx.Done():
	}
	if err := d.mesh.Sync(ctx); err != nil {
		d.part("daemon").Log("msg", "not all peers answered", "err", err)
	}
}

// stop waits for the end of ctx and then makes the planned stop: not ready,
// the load balancer's delay, and the end of all running requests.
func (d *Daemon) stop(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	deadline := time.Now().Add(d.cfg.StopTimeout)
	d.server.Stop(deadline.Add(-min(stopMargin, d.cfg.StopTimeout/4)))
	d.part("daemon").Log("msg", "stopping", "deadline", deadline.UTC().Format(time.RFC3339))
	time.Sleep(d.cfg.Linger)
	last, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if err := callers.Shutdown(last); err != nil {
		return errors.Wrap(err, "finish requests")
	}
	d.confirmer.flush(last)
	return nil
}
