package daemon

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/system"
)

const oneZone = `zones = ["a"]
weigh = "rollout"
[[service]]
name = "ascent"
runners = 4
floor = 1
[[service]]
name = "desk"
runners = 1
floor = 0
spare = true
`

// startServing starts one daemon with four runners and returns the URLs of a
// request through the daemon and of one straight to a runner.
func startServing(b *testing.B, logger log.Logger) (through, direct string) {
	s, err := system.Start(b.Context(), []system.Zone{{Name: "a", Workers: 5, Entries: []string{"a1"}}}, time.Nanosecond)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	ctx, cancel := context.WithCancel(context.Background())
	d, err := New(ctx, Config{Name: "a1", Zone: "a", Caller: loopback, Peer: loopback, Platform: s.URL, Writes: 100, Reads: 100, Logger: logger})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-d.Done()
	})
	store := &etcd.Client{URL: s.URL}
	if _, err := operator.Apply(ctx, store, time.Now(), operator.Edit{Text: []byte(oneZone), Author: "bench"}); err != nil {
		b.Fatal(err)
	}
	for {
		changed := d.tracker.Changed()
		if m := d.tracker.View().Maps["a"]; m != nil {
			n := 0
			for h := range m.In("ascent", fleet.Serving) {
				n++
				direct = "http://" + h.Addr.String() + "/x"
			}
			if n == 4 {
				return "http://" + d.self.CallerAddr.String() + "/ascent/x", direct
			}
		}
		<-changed
	}
}

// eachLogger runs a benchmark without log lines, and with log lines written to
// a file in the same way as the command serve does.
func eachLogger(b *testing.B, f func(b *testing.B, logger log.Logger)) {
	b.Run("log=none", func(b *testing.B) { f(b, nil) })
	b.Run("log=direct", func(b *testing.B) {
		file, err := os.Create(filepath.Join(b.TempDir(), "log"))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = file.Close() })
		f(b, log.With(log.NewLogfmtLogger(log.NewSyncWriter(file)), "at", log.DefaultTimestampUTC))
	})
}

// BenchmarkAdded measures the latency that a daemon adds. It sends requests
// straight to a runner and through a daemon alternately, one at a time.
func BenchmarkAdded(b *testing.B) { eachLogger(b, addedLatency) }

func addedLatency(b *testing.B, logger log.Logger) {
	through, direct := startServing(b, logger)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer c.CloseIdleConnections()
	hist := map[string]*hdrhistogram.Histogram{}
	for _, u := range []string{through, direct} {
		hist[u] = hdrhistogram.New(1, 60e9, 3)
	}
	request := func(u string) time.Duration {
		start := time.Now()
		res, err := c.Get(u)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			b.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			b.Fatalf("%s: status %d", u, res.StatusCode)
		}
		return time.Since(start)
	}
	for range 200 {
		request(through)
		request(direct)
	}
	for b.Loop() {
		for _, u := range []string{through, direct} {
			if err := hist[u].RecordValue(request(u).Nanoseconds()); err != nil {
				b.Fatal(err)
			}
		}
	}
	for _, q := range []float64{50, 99} {
		name := map[float64]string{50: "p50", 99: "p99"}[q]
		t, d := float64(hist[through].ValueAtQuantile(q))/1e3, float64(hist[direct].ValueAtQuantile(q))/1e3
		b.ReportMetric(d, name+"-direct-us")
		b.ReportMetric(t-d, name+"-added-us")
	}
}

// BenchmarkThroughput measures requests through one daemon from parallel
// callers. If the daemon has one core of the host, b.N/s is the number of
// requests per second.
func BenchmarkThroughput(b *testing.B) { eachLogger(b, throughput) }

func throughput(b *testing.B, logger log.Logger) {
	through, _ := startServing(b, logger)
	b.ReportAllocs()
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
		defer c.CloseIdleConnections()
		for pb.Next() {
			res, err := c.Get(through)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
}
