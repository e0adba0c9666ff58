package peer_test

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/peer"
	"gypsumtrestle.example/gypsumtrestle/internal/state"
)

// maxHeaderBytes is what TCP and IPv4 add to a message at most: 52 bytes for
// its segment and 52 for a separate acknowledgement.
const maxHeaderBytes = 104

// BenchmarkControl measures the control traffic of one daemon in fleets of 3, 9
// and 27 daemons on loopback addresses, three to a zone. One iteration measures
// for 10 s.
//
//   - idle: heartbeats only
//   - load: in addition, 10 Loads per second in each zone, of 8 pools with 4
//     runners each, and a FreeSlots of 20 pools every second from each daemon
//   - claims: in addition, 10 claims per second and daemon, each with a grant and
//     a report
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		for _, kind := range []string{"idle", "load", "claims"} {
			b.Run(fmt.Sprintf("daemons=%d/%s", n, kind), func(b *testing.B) {
				ds := startCluster(b, n)
				stop := traffic(b, ds, kind)
				time.Sleep(5 * time.Second) // the first claims open links
				for b.Loop() {
					measure(b, n, func() { time.Sleep(10 * time.Second) })
				}
				stop()
			})
		}
	}
}

// BenchmarkChange measures what one plan of 20 KB costs each of 27 daemons:
// when all of them get it from the key-value store within 100 ms, and when only
// one does.
func BenchmarkChange(b *testing.B) {
	for _, kind := range []string{"all", "one"} {
		b.Run(kind, func(b *testing.B) {
			ds := startCluster(b, 27)
			version := uint64(1)
			src := append([]byte(plan), bytes.Repeat([]byte("# comment\n"), 2000)...)
			for b.Loop() {
				version++
				start := time.Now()
				measure(b, len(ds), func() {
					for _, d := range ds {
						if _, err := d.tracker.UpdatePlan(version, src); err != nil {
							b.Fatal(err)
						}
						if kind == "one" {
							break
						}
						time.Sleep(100 * time.Millisecond / time.Duration(len(ds)))
					}
					for _, d := range ds {
						for d.tracker.View().PlanVersion < version {
							time.Sleep(time.Millisecond)
						}
					}
					b.ReportMetric(time.Since(start).Seconds(), "s/everywhere")
					time.Sleep(time.Until(start.Add(5 * time.Second)))
				})
			}
		})
	}
}

// measure reports the traffic and the CPU time of one daemon during f.
func measure(b *testing.B, n int, f func()) {
	counter := func(name string) float64 {
		v, ok := expvar.Get("peer").(*expvar.Map).Get(name).(*expvar.Int)
		if !ok {
			return 0
		}
		return float64(v.Value())
	}
	msgs, size, cpu, start := counter("sent"), counter("sent_bytes"), cpuTime(b), time.Now()
	f()
	per := time.Since(start).Seconds() * float64(n)
	msgs, size = (counter("sent")-msgs)/per, (counter("sent_bytes")-size)/per
	b.ReportMetric(msgs, "msgs/s")
	b.ReportMetric(size, "B/s")
	b.ReportMetric(size+maxHeaderBytes*msgs, "wire-B/s")
	b.ReportMetric((cpuTime(b)-cpu).Seconds()/per*100, "cpu%")
	b.ReportMetric(counter("links")/float64(n), "links")
	b.ReportMetric(0, "ns/op")
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startCluster runs n daemons on loopback addresses that have the registrations
// of each other.
func startCluster(b *testing.B, n int) []*daemon {
	var ds []*daemon
	var all []peer.Daemon
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		d := &daemon{tracker: &state.Tracker{}}
		self := identity(i, fmt.Sprint("zone", i/3), time.Now())
		self.PeerAddr = netip.MustParseAddrPort(l.Addr().String())
		all = append(all, self)
		if _, err := d.tracker.UpdatePlan(1, []byte(plan)); err != nil {
			b.Fatal(err)
		}
		d.mesh = &peer.Mesh{Self: self, Secret: secret, State: d.tracker, Handler: &grantingHandler{d}}
		srv := &http.Server{Handler: d.mesh}
		go func() { _ = srv.Serve(l) }()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = d.mesh.Run(ctx) }()
		b.Cleanup(func() {
			cancel()
			<-d.mesh.Done()
			_ = srv.Close()
		})
		ds = append(ds, d)
	}
	for _, d := range ds {
		d.mesh.SetRegistered(all)
	}
	time.Sleep(5 * time.Second)
	return ds
}

// grantingHandler grants every claim.
type grantingHandler struct{ d *daemon }

func (h *grantingHandler) Receive(from peer.Daemon, m peer.Message) {
	switch m := m.(type) {
	case peer.Claim:
		_ = h.d.mesh.Send(from.Incarnation, peer.Grant{Call: m.Call, Verdict: 1, Token: m.Call})
	case peer.Grant:
		_ = h.d.mesh.Send(from.Incarnation, peer.Report{Key: key(from), Token: m.Token, Outcome: 1, Response: make([]byte, 200)})
	}
}

func key(owner peer.Daemon) string {
	return "018bcfe5-6800-7000-8000-000000000001." + owner.Incarnation
}

// traffic sends the messages of a kind of load until stop is called.
func traffic(b *testing.B, ds []*daemon, kind string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	every := func(d time.Duration, f func()) {
		wg.Go(func() {
			t := time.NewTicker(d)
			defer t.Stop()
			for ctx.Err() == nil {
				select {
				case <-t.C:
					f()
				case <-ctx.Done():
				}
			}
		})
	}
	for _, d := range ds {
		if kind == "idle" {
			continue
		}
		every(300*time.Millisecond, func() { d.mesh.Broadcast(peer.OwnZone, randomLoad()) })
		every(time.Second, func() { d.mesh.Broadcast(peer.OtherZones, randomFreeSlots()) })
		if kind != "claims" {
			continue
		}
		peers := d.mesh.Peers()
		call := uint64(0)
		every(100*time.Millisecond, func() {
			call++
			owner := peers[rand.IntN(len(peers))].Daemon
			if err := d.mesh.Send(owner.Incarnation, peer.Claim{Call: call, Key: key(owner)}); err != nil {
				b.Error(err)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func randomLoad() peer.Load {
	var l peer.Load
	for range 8 {
		p := peer.PoolLoad{Pool: fmt.Sprintf("service-%03d", rand.IntN(201)), Running: make(map[string]int)}
		for i := range p.Demand {
			p.Demand[i] = rand.IntN(40)
		}
		for range 4 {
			p.Running[fmt.Sprintf("host-%04d", rand.IntN(122))] = rand.IntN(9)
		}
		l.Pools = append(l.Pools, p)
	}
	return l
}

func randomFreeSlots() peer.FreeSlots {
	f := peer.FreeSlots{Free: make(map[string]int)}
	for i := range 20 {
		f.Free[fmt.Sprintf("service-%03d", i)] = rand.IntN(9)
	}
	return f
}
