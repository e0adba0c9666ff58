// Package host assembles one daemon on an entry host of the users' platform:
// the callers' interface, the leader, the configuration and the metrics. It
// owns the order in which they start and stop.
package host

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/entry"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/metric"
	"gypsumtrestle.example/gypsumtrestle/internal/query"
	"gypsumtrestle.example/gypsumtrestle/internal/relay"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

const (
	// strongCores and strongLink are what a host needs to lead the grown
	// deployments: about a thousand orders a second.
	strongCores = 0.8
	strongLink  = 200 // megabits a second
	// orderShare of the rate of the machines' API is used, since the API's
	// clock and ours do not cut seconds alike.
	orderShare = 0.9
	// rotationTime is how long the load balancer may send new connections after
	// the daemon has reported that it is not ready: two checks, a second apart.
	rotationTime = 2200 * time.Millisecond
	// stopMargin of the platform's grace is left when the daemon closes what
	// is still open.
	stopMargin = time.Second
	// storeAge is how old the store's last answer may be for the daemon to be
	// ready.
	storeAge = 2500 * time.Millisecond
)

// Daemon is the parts of one daemon on the platform.
type Daemon struct {
	settings    *platform.Settings
	logger      log.Logger
	operators   *entry.ConfigWatcher
	intake      *entry.JobWriter
	leader      *lead.Leader
	front       *platform.CallerAPI
	relays      *relay.Pool
	relay       *relay.Worker
	metrics     *metric.Set
	metricsAt   netip.AddrPort
	stopping    atomic.Bool
	incarnation string
}

// New returns a daemon that is not running yet. As the leader it reaches more
// than few runners through the other daemons.
func New(s *platform.Settings, metricsAt netip.AddrPort, few int, logger log.Logger) *Daemon {
	d := &Daemon{settings: s, logger: logger, metrics: metric.New(), metricsAt: metricsAt, incarnation: uuid.NewString()}
	store := platform.NewStore(s.Store)
	d.operators = &entry.ConfigWatcher{
		Store: store, Key: platform.ConfigKey, Decode: platform.DecodeConfig, Logger: log.With(logger, "part", "config"),
	}
	d.intake = entry.NewJobWriter(store, log.With(logger, "part", "intake"))
	runners := &platform.RunnerClient{}
	d.relays = &relay.Pool{
		Direct: runners, Logger: log.With(logger, "part", "relay"),
		CallDirectly: func() bool { return d.leader.PolledRunners() <= few },
	}
	power := min(s.Cores/strongCores, s.LinkMbps/strongLink, 1)
	d.leader = lead.New(lead.Config{
		Self:     lead.Holder{Name: s.Name, Addr: s.Peer, Incarnation: d.incarnation},
		Store:    store,
		Runners:  d.relays,
		Registry: lead.Registry{Prefix: platform.RunnersPrefix, Decode: platform.DecodeRunner},
		Waves: lead.Waves{
			Prefix: platform.WavePrefix, Decode: platform.DecodeWave, Status: platform.WaveStatus,
		},
		Machines: machines(s.Machines), MachineCommandRate: machineOrders(s),
		Policy:        policy(s.Policy),
		CurrentConfig: d.operators.Config,
		Limits: sched.Limits{
			MaxRunnerLease: s.Bounds.MaxRunnerLease, OutcomeRetention: s.Bounds.OutcomeRetention, EarlyStart: s.Bounds.EarlyStart,
			MaintenanceTime: s.Bounds.MaintenanceTime, MoveTime: s.Bounds.MoveTime, MachineTakeover: s.Bounds.MachineLease,
		},
		RelativeCapacity: power,
		Logger:           log.With(logger, "part", "lead"),
	})
	d.relay = &relay.Worker{
		Name: s.Name, Zone: s.Zone, RelativeCapacity: power, Leader: d.leader.RemoteLeader, Runners: runners,
		Logger: log.With(logger, "part", "relay"),
	}
	d.front = &platform.CallerAPI{
		Entry: &entry.Entry{
			Store: store, Config: d.operators, Jobs: d.intake, Leader: d.leader, Query: &query.Client{},
			Logger: log.With(logger, "part", "entry"),
		},
		Logger: log.With(logger, "part", "front"), Now: time.Now, Stopping: d.stopping.Load, Count: d.metrics.AddRequest,
	}
	d.metrics.Gauge("jobs_open", "Jobs that have not ended, at the leader.", func() float64 { return float64(d.leader.Stats().Open) })
	d.metrics.Gauge("runs", "Runs on all runners, at the leader.", func() float64 { return float64(d.leader.Stats().Runs) })
	d.metrics.Gauge("runners_reached", "Runners that answer, at the leader.", func() float64 { return float64(d.leader.Stats().Reachable) })
	d.metrics.Gauge("relays", "Daemons that carry out calls for this one.", func() float64 { return float64(d.relays.Relays()) })
	return d
}

// policy returns the policy service, or nil if the platform has none.
func policy(addr netip.AddrPort) lead.Policy {
	if !addr.IsValid() {
		return nil
	}
	return platform.NewPolicyClient(addr)
}

// machines returns the machines' API, or nil if the platform has none.
func machines(addr netip.AddrPort) machine.API {
	if !addr.IsValid() {
		return nil
	}
	return platform.NewMachineClient(addr)
}

// machineOrders is how many orders a second the machines' API takes.
func machineOrders(s *platform.Settings) rate.Limit {
	if s.MachineCommandRate <= 0 {
		return rate.Inf
	}
	return rate.Limit(s.MachineCommandRate * orderShare)
}

// ready tells the load balancer whether to send new connections here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.operators.Config() != nil && d.operators.RespondedSince(time.Now().Add(-storeAge))
}

// Run starts all parts and stops them in order: the leadership at once, the
// callers after the load balancer has noticed. It reads the settings again at
// each hangup.
func (d *Daemon) Run(ctx context.Context, settingsPath string, hangups <-chan os.Signal) error {
	d.logger.Log("msg", "daemon starts", "zone", d.settings.Zone, "front", d.settings.Callers, "store", d.settings.Store, "incarnation", d.incarnation)
	if d.settings.RunnerProtocol != "call" {
		d.logger.Log("msg", "runners take orders in a way that is not known; they are called", "orders", d.settings.RunnerProtocol)
	}
	var g run.Group
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	add := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(serving)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	add(d.operators.Run)
	add(d.relay.Run)
	add(d.intake.Run)
	leading, resign := context.WithCancel(serving)
	g.Add(func() error {
		err := d.leader.Run(leading)
		if d.stopping.Load() {
			<-serving.Done()
		}
		return err
	}, func(error) { resign(); stop() })
	front := &http.Server{Handler: d.front.Handler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	if err := d.serve(ctx, &g, "front", d.settings.Callers, front); err != nil {
		return err
	}
	if err := d.serve(ctx, &g, "ready", d.settings.Ready, &http.Server{Handler: platform.ReadyHandler(d.ready), ReadHeaderTimeout: headerTime}); err != nil {
		return err
	}
	peers := http.NewServeMux()
	peers.Handle(query.Path, query.Handler(d.leader))
	peers.Handle(relay.Path, d.relays.Handler())
	if err := d.serve(ctx, &g, "peer", d.settings.Peer, &http.Server{Handler: peers, ReadHeaderTimeout: headerTime}); err != nil {
		return err
	}
	if err := d.serve(ctx, &g, "metrics", d.metricsAt, &http.Server{Handler: d.metrics.Handler(), ReadHeaderTimeout: headerTime}); err != nil {
		return err
	}
	add(func(c context.Context) error { return d.reload(c, settingsPath, hangups) })
	add(func(c context.Context) error {
		select {
		case <-ctx.Done():
		case <-c.Done():
			return nil
		}
		d.drain(context.WithoutCancel(c), front, resign)
		return nil
	})
	err := g.Run()
	d.logger.Log("msg", "daemon stops", "err", err)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// headerTime bounds how long a client may take to send its header.
	headerTime = 3 * time.Second
	// idleTime closes a caller's connection without requests.
	idleTime = 15 * time.Second
)

// serve adds an HTTP server to the group.
func (d *Daemon) serve(ctx context.Context, g *run.Group, part string, at netip.AddrPort, s *http.Server) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", at.String())
	if err != nil {
		return errors.Wrapf(err, "listen for %s", part)
	}
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", part)
		}
		return nil
	}, func(error) {
		if err := s.Close(); err != nil {
			d.logger.Log("msg", "server is not closed", "server", part, "err", err)
		}
	})
	return nil
}

// drain ends the daemon's work without cutting a request off.
func (d *Daemon) drain(ctx context.Context, front *http.Server, resign func()) {
	d.stopping.Store(true)
	deadline := time.Now().Add(d.settings.Bounds.Grace - stopMargin)
	d.logger.Log("msg", "daemon is told to stop", "leading", d.leader.Leading(), "until", deadline)
	resign()
	<-d.leader.Done()
	time.Sleep(min(rotationTime, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		d.logger.Log("msg", "requests are cut off", "err", err)
	}
}

// reload checks the settings when the process is told that they have changed.
// All that can change while a process runs is read by those who start it.
func (d *Daemon) reload(ctx context.Context, path string, hangups <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			d.logger.Log("msg", "settings cannot be reloaded; the old ones stay", "err", err)
			continue
		}
		d.logger.Log("msg", "settings are reloaded", "same", *s == *d.settings)
	}
}
