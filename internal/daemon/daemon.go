package daemon

import (
	"context"
	"expvar"
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
	"gypsumtrestle.example/gypsumtrestle/internal/intake"
	"gypsumtrestle.example/gypsumtrestle/internal/manager"
	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/pool"
	"gypsumtrestle.example/gypsumtrestle/internal/route"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
	"gypsumtrestle.example/gypsumtrestle/internal/trace"
	"gypsumtrestle.example/gypsumtrestle/internal/watch"
)

// syncTimeout bounds the wait for the peers and the key-value store. After it
// the daemon continues with the state that it has.
const syncTimeout = 5 * time.Second

// stopMargin is the longest time that is reserved at the end of a planned stop
// for writing the last responses.
const stopMargin = time.Second

// intakeVars counts what clients make the daemon hold, and for which limits
// connections were closed and requests rejected.
var intakeVars = expvar.NewMap("intake")

// Daemon is one entry daemon.
type Daemon struct {
	cfg  Config
	self peer.Daemon

	callers, peers net.Listener

	tracker   *state.Tracker
	platform  *etcd.Client
	client    *backend.Client
	pools     *pool.Table
	mesh      *peer.Mesh
	claims    *claim.Claimer
	manager   *manager.Manager
	budgets   *watch.Budgets
	watcher   *watch.Watcher
	confirmer *confirmer
	server    *caller.Server
	counter   *totals.Counter
	hosts     *totals.Hosts
	// trace and closeTrace are nil if no trace file is configured.
	trace      *trace.Recorder
	closeTrace func() error

	// requestStop starts the planned stop. It is set by Run.
	requestStop context.CancelFunc

	done chan struct{}
}

// New validates the settings and opens the listeners.
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
	if d.callers, err = intake.Listen(ctx, cfg.Caller); err != nil {
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
	d.self = peer.Daemon{Name: cfg.Name, Zone: cfg.Zone, Incarnation: inc, PeerAddr: tcpAddr(d.peers), CallerAddr: tcpAddr(d.callers)}
	d.assemble()
	return d, nil
}

func tcpAddr(l net.Listener) netip.AddrPort {
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		panic("address of a TCP listener is not a TCP address")
	}
	return a.AddrPort()
}

// daemonLogger returns a logger for the parts that add their own prefix.
func (d *Daemon) daemonLogger() log.Logger { return log.With(d.cfg.Logger, "daemon", d.cfg.Name) }

// partLogger returns a logger with the fixed prefix of one part.
func (d *Daemon) partLogger(name string) log.Logger {
	return log.With(d.daemonLogger(), "part", name)
}

// assemble creates the parts and connects them.
func (d *Daemon) assemble() {
	d.tracker = new(state.Tracker)
	d.counter = new(totals.Counter)
	d.hosts = &totals.Hosts{Counter: d.counter, Zone: d.self.Zone, Self: d.self.Incarnation, Clock: d.clock}
	d.tracker.OnMap = d.hosts.CountTransitions
	d.client = new(backend.Client)
	d.platform = &etcd.Client{
		URL: d.cfg.Platform, Zone: d.self.Zone,
		Budget: gateway.Budget{Writes: rate.Limit(d.cfg.Writes), Reads: rate.Limit(d.cfg.Reads)},
	}
	d.pools = &pool.Table{Zone: d.self.Zone, Self: d.self.Incarnation, Picker: &route.Picker{Zone: d.self.Zone}}
	d.mesh = &peer.Mesh{
		Self: d.self, Secret: d.cfg.Secret, Seeds: d.cfg.Seeds, State: d.tracker,
		Handler: d, Logger: d.daemonLogger(),
	}
	d.claims = &claim.Claimer{Self: d.self.Incarnation, Mesh: d.mesh, Store: d.platform, Logger: d.daemonLogger()}
	d.manager = &manager.Manager{
		Self: d.self, Store: d.platform, Tasks: d.platform, State: d.tracker, Logger: d.partLogger("manager"),
	}
	d.budgets = &watch.Budgets{
		Store: d.platform, State: d.tracker, Logger: d.partLogger("budget"),
		IsManager: func() bool { return d.manager.Status().IsManager },
	}
	d.manager.ExhaustedBudgets = d.budgets.Exhausted
	d.confirmer = &confirmer{
		tracker: d.tracker, pools: d.pools, picker: d.pools.Picker, send: d.confirm, flushes: make(chan chan struct{}), done: make(chan struct{}),
	}
	d.watcher = &watch.Watcher{Store: d.platform, State: d.tracker, OnRegistered: d.mesh.SetRegistered, Logger: d.partLogger("platform")}
	d.server = &caller.Server{
		Dispatch: &dispatch.Dispatcher{
			Pools: d.pools, Exchange: d.client, Claims: d.claims, Trace: d.trace, Logger: d.partLogger("dispatch"),
			OnLeaving: func(host string, now time.Time) { d.tracker.MarkLeaving(host, now) },
		},
		State: d.tracker, Totals: d.counter, Incarnation: d.self.Incarnation, Zone: d.self.Zone,
		Status: d.status, Logger: d.partLogger("caller"), MaxBody: d.cfg.MaxBody,
		MaxHeader: d.cfg.MaxHeader, ReadTimeout: d.cfg.ReadTimeout,
	}
}

// clock returns the time zone in which a day of the totals ends at midnight.
func (d *Daemon) clock() *time.Location {
	if t := d.tracker.View().Text; t != nil {
		return t.Clock
	}
	return nil
}

// zoneMap returns the active map of the daemon's zone, or nil.
func (d *Daemon) zoneMap() *fleet.Map { return d.tracker.View().Maps[d.self.Zone] }

// Self returns the daemon's name, zone and addresses.
func (d *Daemon) Self() peer.Daemon { return d.self }

// Done returns a channel that closes when Run has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Run serves until ctx ends and the planned stop is complete, or until a part
// fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	d.partLogger("daemon").Log("msg", "daemon started", "zone", d.self.Zone, "incarnation", d.self.Incarnation, "caller", d.self.CallerAddr, "peer", d.self.PeerAddr)
	var g run.Group
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	d.requestStop = cancel
	// Parts outlive ctx: they stop when the planned stop is complete.
	parts := context.WithoutCancel(ctx)
	platformRead := make(chan struct{}, 1)
	callers := d.server.HTTP()
	guard := intake.New(d.cfg.limits(), d.partLogger("caller"), intakeVars)
	guard.Protect(callers)
	mux := http.NewServeMux()
	mux.Handle("/peer", d.mesh)
	peers := &http.Server{Handler: mux, ReadHeaderTimeout: d.cfg.ReadTimeout}

	add := func(name string, f func(context.Context) error) {
		ctx, cancel := context.WithCancel(parts)
		g.Add(func() error { return errors.Wrap(f(ctx), name) }, func(error) { cancel() })
	}
	d.serve(&g, callers, guard.Listener(d.callers))
	d.serve(&g, peers, d.peers)
	add("mesh", d.mesh.Run)
	add("follow", func(ctx context.Context) error { return d.watcher.Run(ctx, platformRead) })
	add("register", d.register)
	add("leaving", (&watch.LeavingHosts{Hosts: d.platform, State: d.tracker, Logger: d.partLogger("leaving")}).Run)
	add("load", (&loadReporter{zone: d.self.Zone, pools: d.pools, mesh: d.mesh}).run)
	add("confirm", d.confirmer.run)
	add("claim", d.claims.Run)
	add("manager", d.manager.Run)
	add("totals", (&totals.Writer{Counter: d.counter, Store: d.platform, Incarnation: d.self.Incarnation, Logger: d.partLogger("totals")}).Run)
	add("hosts", func(ctx context.Context) error {
		return d.hosts.Run(ctx, func() bool { return d.manager.Status().IsManager }, d.zoneMap)
	})
	add("budget", d.budgets.Run)
	add("trace", d.record)
	add("ready", func(ctx context.Context) error { return d.becomeReady(ctx, platformRead) })

	g.Add(func() error { return d.stop(stop, callers) }, func(error) { cancel() })
	err := g.Run()
	d.client.Close()
	d.partLogger("daemon").Log("msg", "daemon stopped", "err", err)
	return err
}

func (d *Daemon) serve(g *run.Group, s *http.Server, l net.Listener) {
	closed := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", l.Addr())
		}
		// In a planned stop Serve returns first, but the other parts are still
		// needed.
		<-closed
		return nil
	}, func(error) {
		_ = s.Close()
		close(closed)
	})
}

// becomeReady waits for the state of the key-value store or the peers. Then it
// sets the daemon ready while the zone's map lists it.
func (d *Daemon) becomeReady(ctx context.Context, platformRead <-chan struct{}) error {
	d.awaitSync(ctx, platformRead)
	last := false
	for ctx.Err() == nil {
		changed := d.tracker.Changed()
		v := d.tracker.View()
		ready := v.Text != nil && v.Maps[d.self.Zone] != nil && v.Maps[d.self.Zone].HasMember(d.self.Incarnation)
		if ready != last {
			last = ready
			d.server.SetReady(ready)
			d.partLogger("daemon").Log("msg", "readiness changed", "ready", ready, "text", v.PlanVersion)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}

// awaitSync waits until the peers have reported their versions and the
// key-value store was read once, so that a restarted daemon does not serve an
// older configuration text.
func (d *Daemon) awaitSync(ctx context.Context, platformRead <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	select {
	case <-platformRead:
	case <-ctx.Done():
	}
	if err := d.mesh.Sync(ctx); err != nil {
		d.partLogger("daemon").Log("msg", "peer sync incomplete", "err", err)
	}
}

// stop waits for the end of ctx and then makes the planned stop: it reports not
// ready, waits for the load balancer, and waits until all running requests have
// ended.
func (d *Daemon) stop(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	deadline := time.Now().Add(d.cfg.StopTimeout)
	d.server.Stop(deadline.Add(-min(stopMargin, d.cfg.StopTimeout/4)))
	d.partLogger("daemon").Log("msg", "daemon stopping", "deadline", deadline.UTC().Format(time.RFC3339))
	time.Sleep(d.cfg.Linger)
	last, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	if err := callers.Shutdown(last); err != nil {
		return errors.Wrap(err, "finish requests")
	}
	d.confirmer.flush(last)
	return nil
}
