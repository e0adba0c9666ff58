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

// headers is what TCP and IPv4 add to a message at most: 52 bytes for its
// segment and 52 for an acknowledgement of its own.
const headers = 104

// BenchmarkControl measures the control traffic of one daemon among 3, 9 and
// 27 on loopback, three to a zone. One iteration observes 10 s.
//
//   - idle: heartbeats only
//   - load: and 10 Loads a second in the zone, of 8 pools with 4 runners each,
//     and a Room of 20 pools every second
//   - claims: and 10 claims a second and daemon, with grant and report
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		for _, kind := range []string{"idle", "load", "claims"} {
			b.Run(fmt.Sprintf("daemons=%d/%s", n, kind), func(b *testing.B) {
				ds := cluster(b, n)
				stop := traffic(b, ds, kind)
				time.Sleep(5 * time.Second) // claims open links at first
				for b.Loop() {
					observe(b, n, func() { time.Sleep(10 * time.Second) })
				}
				stop()
			})
		}
	}
}

// BenchmarkChange measures what one plan of 20 KB costs each of 27 daemons:
// when the platform brings it to all within 100 ms, and when it brings it to
// one only.
func BenchmarkChange(b *testing.B) {
	for _, kind := range []string{"all", "one"} {
		b.Run(kind, func(b *testing.B) {
			ds := cluster(b, 27)
			version := uint64(1)
			src := append([]byte(plan), bytes.Repeat([]byte("# comment\n"), 2000)...)
			for b.Loop() {
				version++
				begun := time.Now()
				observe(b, len(ds), func() {
					for _, d := range ds {
						if _, err := d.keeper.UpdatePlan(version, src); err != nil {
							b.Fatal(err)
						}
						if kind == "one" {
							break
						}
						time.Sleep(100 * time.Millisecond / time.Duration(len(ds)))
					}
					for _, d := range ds {
						for d.keeper.View().Plan < version {
							time.Sleep(time.Millisecond)
						}
					}
					b.ReportMetric(time.Since(begun).Seconds(), "s/everywhere")
					time.Sleep(time.Until(begun.Add(5 * time.Second)))
				})
			}
		})
	}
}

// observe reports the traffic and the processor time of one daemon during f.
func observe(b *testing.B, n int, f func()) {
	counter := func(name string) float64 {
		v, ok := expvar.Get("peer").(*expvar.Map).Get(name).(*expvar.Int)
		if !ok {
			return 0
		}
		return float64(v.Value())
	}
	msgs, size, cpu, begun := counter("sent"), counter("sent_bytes"), processor(b), time.Now()
	f()
	per := time.Since(begun).Seconds() * float64(n)
	msgs, size = (counter("sent")-msgs)/per, (counter("sent_bytes")-size)/per
	b.ReportMetric(msgs, "msgs/s")
	b.ReportMetric(size, "B/s")
	b.ReportMetric(size+headers*msgs, "wire-B/s")
	b.ReportMetric((processor(b)-cpu).Seconds()/per*100, "cpu%")
	b.ReportMetric(counter("links")/float64(n), "links")
	b.ReportMetric(0, "ns/op")
}

func processor(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cluster runs n daemons on loopback that the platform has told of each other.
func cluster(b *testing.B, n int) []*daemon {
	var ds []*daemon
	var all []peer.Daemon
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		d := &daemon{keeper: &state.Tracker{}}
		self := identity(i, fmt.Sprint("zone", i/3), time.Now())
		self.Peer = netip.MustParseAddrPort(l.Addr().String())
		all = append(all, self)
		if _, err := d.keeper.UpdatePlan(1, []byte(plan)); err != nil {
			b.Fatal(err)
		}
		d.mesh = &peer.Mesh{Self: self, Secret: secret, State: d.keeper, Handler: &answerer{d}}
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

// answerer grants every claim.
type answerer struct{ d *daemon }

func (a *answerer) Receive(from peer.Daemon, m peer.Message) {
	switch m := m.(type) {
	case peer.Claim:
		_ = a.d.mesh.Send(from.Incarnation, peer.Grant{Call: m.Call, Verdict: 1, Token: m.Call})
	case peer.Grant:
		_ = a.d.mesh.Send(from.Incarnation, peer.Report{Key: key(from), Token: m.Token, Outcome: 1, Response: make([]byte, 200)})
	}
}

func key(home peer.Daemon) string {
	return "018bcfe5-6800-7000-8000-000000000001." + home.Incarnation
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
		every(300*time.Millisecond, func() { d.mesh.Broadcast(peer.OwnZone, someLoad()) })
		every(time.Second, func() { d.mesh.Broadcast(peer.OtherZones, someRoom()) })
		if kind != "claims" {
			continue
		}
		peers := d.mesh.Peers()
		call := uint64(0)
		every(100*time.Millisecond, func() {
			call++
			home := peers[rand.IntN(len(peers))].Daemon
			if err := d.mesh.Send(home.Incarnation, peer.Claim{Call: call, Key: key(home)}); err != nil {
				b.Error(err)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func someLoad() peer.Load {
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

func someRoom() peer.FreeSlots {
	r := peer.FreeSlots{Free: make(map[string]int)}
	for i := range 20 {
		r.Free[fmt.Sprintf("service-%03d", i)] = rand.IntN(9)
	}
	return r
}
