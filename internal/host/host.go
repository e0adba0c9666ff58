// Package host assembles the entry daemon of the command entry, which accepts
// callers' jobs on an entry host of the users' platform: the API for callers, the
// leader, the configuration and the metrics. It defines the order in which they
// start and stop. If one part fails, all others are stopped. While the store is
// unreachable, the daemon reports that it is not ready. The daemon of the command
// serve, which forwards requests, is in package daemon.
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

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
	"gypsumtrestle.example/gypsumtrestle/internal/entry"
	"gypsumtrestle.example/gypsumtrestle/internal/explain"
	"gypsumtrestle.example/gypsumtrestle/internal/handover"
	"gypsumtrestle.example/gypsumtrestle/internal/intake"
	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/machine"
	"gypsumtrestle.example/gypsumtrestle/internal/metric"
	"gypsumtrestle.example/gypsumtrestle/internal/query"
	"gypsumtrestle.example/gypsumtrestle/internal/relay"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

const (
	// referenceCores and referenceLinkMbps are what a host needs to lead the
	// deployments once they have grown: about a thousand commands per second.
	referenceCores    = 0.8
	referenceLinkMbps = 200 // megabits per second
	// commandRateShare is the share of the machine API's rate limit that the
	// leader uses. It is below 1 because the API counts commands per second of
	// its own clock, whose seconds start at other times than the daemon's.
	commandRateShare = 0.9
	// settleMargin is the time in which each runner is polled again after the
	// runs that a previous leader stopped have ended.
	settleMargin = time.Second
	// rotationDelay is how long the load balancer may send new connections after
	// the daemon reports that it is not ready: two health checks, one second
	// apart.
	rotationDelay = 2200 * time.Millisecond
	// stopMargin is how long before the end of the platform's grace period the
	// daemon closes the remaining connections.
	stopMargin = time.Second
	// maxStoreAge is how old the last response of the store may be for the
	// daemon to be ready.
	maxStoreAge = 2500 * time.Millisecond
)

// Daemon holds the parts of one daemon.
type Daemon struct {
	settings    *platform.Settings
	logger      log.Logger
	config      *entry.ConfigWatcher
	jobs        *entry.JobWriter
	admission   *entry.Admission // nil: off
	leader      *lead.Leader
	callerAPI   *platform.CallerAPI
	intake      *intake.Guard
	relays      *relay.Pool
	relay       *relay.Worker
	metrics     *metric.Set
	metricsAddr netip.AddrPort
	stopping    atomic.Bool
	incarnation string
}

// New returns a daemon that is not running yet.
func New(s *platform.Settings, o Options, logger log.Logger) *Daemon {
	d := &Daemon{settings: s, logger: logger, metrics: metric.New(), metricsAddr: o.Metrics, incarnation: uuid.NewString()}
	store := platform.NewStore(s.Store)
	d.config = &entry.ConfigWatcher{
		Store: store, Key: platform.ConfigKey, Decode: platform.DecodeConfig, Logger: log.With(logger, "part", "config"),
	}
	d.jobs = entry.NewJobWriter(store, log.With(logger, "part", "intake"))
	runners := &platform.RunnerClient{}
	d.relays = &relay.Pool{
		Direct: runners, Logger: log.With(logger, "part", "relay"),
		CallDirectly: func() bool { return d.leader.PolledRunners() <= o.DirectLimit },
		Runners:      func() int { return d.leader.PolledRunners() },
		Replied: func(name, incarnation string, at clock.BootTime) {
			d.leader.DaemonReplied(name, incarnation, at)
		},
	}
	relativeCapacity := min(s.Cores/referenceCores, s.LinkMbps/referenceLinkMbps, 1)
	d.leader = lead.New(lead.Config{
		Self:     lead.Holder{Name: s.Name, Addr: s.Peer, Incarnation: d.incarnation},
		Store:    store,
		Runners:  d.relays,
		Registry: lead.Registry{Prefix: platform.RunnersPrefix, Decode: platform.DecodeRunner},
		Waves: lead.Waves{
			Prefix: platform.WavePrefix, Decode: platform.DecodeWave, Status: platform.WaveStatus,
		},
		Peers: &handover.Client{}, CommandTime: relay.CommandTimeout,
		Machines: machines(s.Machines), MachineCommandRate: machineCommandRate(s),
		Policy:        policy(s.Policy),
		CurrentConfig: d.config.Config,
		Limits: sched.Limits{
			MaxRunnerLease: s.Bounds.MaxRunnerLease, Settle: s.Bounds.StopTime + settleMargin, OutcomeRetention: s.Bounds.OutcomeRetention, EarlyStart: s.Bounds.EarlyStart,
			MaintenanceTime: s.Bounds.MaintenanceTime, MoveTime: s.Bounds.MoveTime, MachineTakeover: s.Bounds.MachineLease,
		},
		MaxValue:         s.MaxValue,
		Together:         o.Together,
		RelativeCapacity: relativeCapacity,
		RelativeCores:    min(s.Cores/referenceCores, 1),
		Logger:           log.With(logger, "part", "lead"),
	})
	d.relay = &relay.Worker{
		Name: s.Name, Incarnation: d.incarnation, Zone: s.Zone, RelativeCapacity: relativeCapacity, Leader: d.leader.RemoteLeader, Runners: runners,
		Logger: log.With(logger, "part", "relay"),
	}
	queries := &query.Client{}
	if o.Admission != AdmissionOff {
		d.admission = entry.NewAdmission(d.leader, queries, log.With(logger, "part", "admission"))
		d.admission.Count = d.metrics.AddRejection
		if o.Admission == AdmissionAuto {
			d.admission.Enabled = func() bool {
				c := d.config.Config()
				return c != nil && len(c.Workspaces) > 0
			}
		}
	}
	d.callerAPI = &platform.CallerAPI{
		Entry: &entry.Entry{
			Store: store, ConfigWatcher: d.config, Jobs: d.jobs, Leader: d.leader, QueryClient: queries, Admission: d.admission,
			Logger: log.With(logger, "part", "entry"),
		},
		Logger: log.With(logger, "part", "front"), Now: time.Now, Stopping: d.stopping.Load, Count: d.metrics.AddRequest,
		CountKey: d.metrics.AddKeyRejection, ConfigApply: s.Bounds.ConfigApply,
	}
	d.intake = intake.New(intake.LimitsFor(s.MemoryMB, s.MaxFDs), log.With(logger, "part", "front"), nil)
	d.metrics.Gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(d.intake.Status().Connections) })
	d.metrics.Gauge("caller_body_bytes", "Bytes for which large request bodies have room.", func() float64 { return float64(d.intake.Status().BodyBytes) })
	d.metrics.Counter("caller_limited_total", "Connections closed and requests rejected for a limit on callers.", func() float64 { return float64(d.intake.Status().Closed) })
	d.metrics.Gauge("jobs_open", "Jobs that have not ended, at the leader.", func() float64 { return float64(d.leader.Stats().Open) })
	d.metrics.Gauge("runs", "Runs on all runners, at the leader.", func() float64 { return float64(d.leader.Stats().Runs) })
	d.metrics.Gauge("long_running_waiting", "Long-running tasks that have had no run for seconds, at the leader.", func() float64 { return float64(d.leader.Stats().Waiting) })
	d.metrics.Gauge("workspaces_capped", "Workspaces with waiting work that their cap keeps from starting, at the leader.", func() float64 { return float64(d.leader.Stats().Capped) })
	d.metrics.Gauge("runners_reached", "Runners that answer, at the leader.", func() float64 { return float64(d.leader.Stats().Reachable) })
	d.metrics.Gauge("interfering_pairs", "Pairs of images of which the first is slower beside the second, at the leader.", func() float64 { return float64(d.leader.Stats().KnownPairs) })
	d.metrics.Counter("placements_apart_total", "Starts on another runner because of interference, in the present term of the leader.", func() float64 { return float64(d.leader.Stats().PlacedApart) })
	d.metrics.Gauge("relays", "Daemons that carry out calls for this one.", func() float64 { return float64(d.relays.Relays()) })
	return d
}

// policy returns a client of the policy service, or nil if the platform has none.
func policy(addr netip.AddrPort) lead.Policy {
	if !addr.IsValid() {
		return nil
	}
	return platform.NewPolicyClient(addr)
}

// machines returns a client of the machine API, or nil if the platform has none.
func machines(addr netip.AddrPort) machine.API {
	if !addr.IsValid() {
		return nil
	}
	return platform.NewMachineClient(addr)
}

// machineCommandRate returns how many commands per second are sent to the
// machine API.
func machineCommandRate(s *platform.Settings) rate.Limit {
	if s.MachineCommandRate <= 0 {
		return rate.Inf
	}
	return rate.Limit(s.MachineCommandRate * commandRateShare)
}

// ready reports whether the load balancer may send new connections here.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.config.Config() != nil && d.config.RespondedSince(time.Now().Add(-maxStoreAge))
}

// Run starts all parts and stops them in order: it steps down as the leader
// immediately, and closes the callers' server after the load balancer has removed
// the host. It checks the settings again at each SIGHUP. It returns nil after a
// stop by ctx, and otherwise the error of the part that failed.
func (d *Daemon) Run(ctx context.Context, settingsPath string, hangups <-chan os.Signal) error {
	d.logger.Log("msg", "daemon starting", "zone", d.settings.Zone, "front", d.settings.Callers, "store", d.settings.Store, "incarnation", d.incarnation)
	if d.settings.RunnerProtocol != "call" {
		d.logger.Log("msg", "runner protocol not supported, using calls", "orders", d.settings.RunnerProtocol)
	}
	var g run.Group
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	add := func(f func(context.Context) error) {
		c, cancel := context.WithCancel(serving)
		g.Add(func() error { return f(c) }, func(error) { cancel() })
	}
	add(d.config.Run)
	add(d.relay.Run)
	add(d.jobs.Run)
	if d.admission != nil {
		add(d.admission.Run)
	}
	leading, stepDown := context.WithCancel(serving)
	g.Add(func() error {
		err := d.leader.Run(leading)
		if d.stopping.Load() {
			// The other parts are stopped when this function returns.
			<-serving.Done()
		}
		return err
	}, func(error) { stepDown(); stop() })
	callers := d.callerServer()
	d.intake.Protect(callers)
	l, err := intake.Listen(ctx, d.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for front")
	}
	d.serveOn(&g, "front", d.intake.Listener(l), callers)
	if err := d.serve(ctx, &g, "ready", d.settings.Ready, &http.Server{Handler: platform.ReadyHandler(d.ready), ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	peers := http.NewServeMux()
	peers.Handle(query.Path, query.Handler(d.leader))
	peers.Handle(relay.Path, d.relays.Handler())
	peers.Handle(handover.Path, handover.Handler(d.leader))
	peers.Handle(explain.Path, &explain.Handler{Leader: d.leader, Config: d.config.Config, Decode: platform.DecodeJob})
	if err := d.serve(ctx, &g, "peer", d.settings.Peer, &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	if err := d.serve(ctx, &g, "metrics", d.metricsAddr, &http.Server{Handler: d.metrics.Handler(), ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	add(func(c context.Context) error { return d.reload(c, settingsPath, hangups) })
	add(func(c context.Context) error {
		select {
		case <-ctx.Done():
		case <-c.Done():
			return nil
		}
		d.drain(context.WithoutCancel(c), callers, stepDown)
		return nil
	})
	err = g.Run()
	d.logger.Log("msg", "daemon stopped", "err", err)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

const (
	// headerTimeout is how long a client may take to send its request header.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a caller's connection may stay idle.
	idleTimeout = 15 * time.Second
	// maxHeader is above the limit of the platform's contract, so that the handler
	// can reject a request with a key of 64 KB.
	maxHeader = 80 << 10
)

// callerServer returns the server of the callers' API.
func (d *Daemon) callerServer() *http.Server {
	return &http.Server{Handler: d.callerAPI.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
}

// serve adds an HTTP server to the group.
func (d *Daemon) serve(ctx context.Context, g *run.Group, part string, addr netip.AddrPort, s *http.Server) error {
	l, err := new(net.ListenConfig).Listen(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen for %s", part)
	}
	d.serveOn(g, part, l, s)
	return nil
}

// serveOn adds an HTTP server with its listener to the group.
func (d *Daemon) serveOn(g *run.Group, part string, l net.Listener, s *http.Server) {
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", part)
		}
		return nil
	}, func(error) {
		if err := s.Close(); err != nil {
			d.logger.Log("msg", "server close failed", "server", part, "err", err)
		}
	})
}

// drain stops the daemon without aborting requests: it steps down, waits until the
// load balancer sends no new connections, and lets open requests finish. Requests
// that are still open stopMargin before the end of the grace period are aborted.
func (d *Daemon) drain(ctx context.Context, callers *http.Server, stepDown func()) {
	d.stopping.Store(true)
	deadline := time.Now().Add(d.settings.Bounds.Grace - stopMargin)
	d.logger.Log("msg", "shutdown requested", "leading", d.leader.Leading(), "until", deadline)
	stepDown()
	<-d.leader.Done()
	time.Sleep(min(rotationDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.logger.Log("msg", "requests aborted", "err", err)
	}
}

// reload loads and checks the settings at each SIGHUP and logs whether they are
// the same. It does not apply them, since the settings that can change while a
// process runs are only read by the programs that start it.
func (d *Daemon) reload(ctx context.Context, path string, hangups <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			d.logger.Log("msg", "settings reload failed, previous settings kept", "err", err)
			continue
		}
		d.logger.Log("msg", "settings reloaded", "same", *s == *d.settings)
	}
}
