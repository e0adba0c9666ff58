package daemon

import (
	"context"
	"expvar"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/system"
)

// observeTime is how long one iteration of BenchmarkRest measures.
const observeTime = 10 * time.Second

// BenchmarkRest measures a daemon's control work without requests: CPU time,
// heap and bytes to peers. All daemons run in one process with the stand-ins of
// the platform and the runners; the figures are divided by the number of
// daemons and include the work of the stand-ins.
func BenchmarkRest(b *testing.B) {
	eachSize(b, func(b *testing.B, s fleetSize) {
		before := heap()
		stop := s.start(b)
		defer stop()
		for b.Loop() {
			cpu, sent := cpuTime(b), sentBytes()
			time.Sleep(observeTime)
			per := observeTime.Seconds() * float64(s.daemons)
			b.ReportMetric((cpuTime(b)-cpu).Seconds()/per*100, "core-%/daemon")
			b.ReportMetric(float64(sentBytes()-sent)/per, "peer-B/s/daemon")
			b.ReportMetric(float64(heap()-before)/float64(s.daemons), "heap-B/daemon")
			b.ReportMetric(0, "ns/op")
		}
	})
}

// start runs the fleet's daemons until every desired runner is serving.
func (s fleetSize) start(b *testing.B) (stop func()) {
	b.Helper()
	zones := make([]system.Zone, s.zones)
	for i := range zones {
		zones[i].Name = s.zone(i)
	}
	for i := range s.hosts {
		zones[i%s.zones].Workers++
	}
	for i := range s.daemons {
		z := &zones[i%s.zones]
		z.Entries = append(z.Entries, fmt.Sprintf("%s-entry%d", z.Name, i))
	}
	sys, err := system.Start(b.Context(), zones, time.Nanosecond)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var daemons []*Daemon
	for _, z := range zones {
		for _, name := range z.Entries {
			d, err := New(ctx, Config{Name: name, Zone: z.Name, Caller: loopback, Peer: loopback, Platform: sys.URL, Linger: time.Nanosecond})
			if err != nil {
				b.Fatal(err)
			}
			daemons = append(daemons, d)
			go func() { _ = d.Run(ctx) }()
		}
	}
	if _, err := operator.Apply(ctx, &etcd.Client{URL: sys.URL}, time.Now(), operator.Edit{Text: s.text(), Author: "bench"}); err != nil {
		b.Fatal(err)
	}
	for _, d := range daemons {
		s.awaitServing(d)
	}
	return func() {
		cancel()
		for _, d := range daemons {
			<-d.Done()
		}
		sys.Close()
	}
}

// awaitServing waits until a daemon routes to every desired runner.
func (s fleetSize) awaitServing(d *Daemon) {
	for {
		changed := d.tracker.Changed()
		serving := 0
		for _, m := range d.tracker.View().Maps {
			for i := range m.Hosts {
				if m.Hosts[i].State == fleet.Serving {
					serving++
				}
			}
		}
		if serving >= s.hosts/s.pools*s.pools {
			return
		}
		<-changed
	}
}

func sentBytes() int64 {
	v, ok := expvar.Get("peer").(*expvar.Map).Get("sent_bytes").(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
