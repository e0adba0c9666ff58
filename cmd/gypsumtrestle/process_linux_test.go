package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/examples"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/platform"
)

const (
	ticksPerSecond = 100 // unit of the times in /proc, on all common kernels
	loadDuration   = 8 * time.Second
	connections    = 32
)

// processes starts the stand-ins and a daemon per zone of the Brazos example as
// separate processes. It returns the process ID of the first daemon and its
// address for callers.
func processes(b *testing.B) (pid int, caller netip.AddrPort) {
	bin := b.TempDir()
	if out, err := exec.CommandContext(b.Context(), "go", "build", "-o", bin, ".", "../platform-standin", "../backend-standin").CombinedOutput(); err != nil {
		b.Fatalf("build: %v\n%s", err, out)
	}
	var next atomic.Int64
	next.Store(int64(os.Getpid() % (lastPort - firstPort)))
	// The control ports of the workers need two adjacent blocks.
	first, workers := freeBlock(&next), freeBlock(&next)
	freeBlock(&next)
	address := func(port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
	}
	start := func(name string, args ...string) int {
		c := exec.CommandContext(b.Context(), filepath.Join(bin, name), args...)
		if err := c.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			_ = c.Process.Signal(syscall.SIGTERM)
			_ = c.Wait()
		})
		return c.Process.Pid
	}
	var rows []standin.Host
	for _, z := range demoZones {
		for i := range z.Workers {
			rows = append(rows, standin.Host{Control: address(workers + len(rows)), Host: etcd.Host{
				Name: fmt.Sprintf("%s-w%d", z.Name, i), Zone: z.Name, Rack: fmt.Sprintf("%s-r%d", z.Name, i/4),
				Role: "worker", Addr: address(0).Addr(), Cores: 16, Memory: 32,
			}})
		}
	}
	src, err := json.Marshal(rows)
	if err != nil {
		b.Fatal(err)
	}
	file := filepath.Join(bin, "hosts.json")
	if err := os.WriteFile(file, src, 0o600); err != nil {
		b.Fatal(err)
	}
	start("backend-standin", "--listen", address(workers).String(), "--hosts", strconv.Itoa(len(rows)))
	start("platform-standin", "--listen", address(first).String(), "--hosts", file)
	url := "http://" + address(first).String()
	for i, z := range demoZones {
		p := start("gypsumtrestle", "serve", "--name", z.Entries[0], "--zone", z.Name, "--linger", "0s", "--platform", url,
			"--caller", address(first+1+i).String(), "--peer", address(first+10+i).String())
		if i == 0 {
			pid = p
		}
	}
	text := filepath.Join(bin, "text.toml")
	if err := os.WriteFile(text, examples.Brazos, 0o600); err != nil {
		b.Fatal(err)
	}
	caller = address(first + 1)
	for exec.CommandContext(b.Context(), filepath.Join(bin, "gypsumtrestle"), "apply", text, "--platform", url).Run() != nil {
		time.Sleep(awaitInterval)
	}
	for {
		if s, err := operator.GetStatus(b.Context(), http.DefaultClient, caller); err == nil && s.Ready && len(s.Pools) > 0 && s.Pools[0].Serving == s.Pools[0].Wanted {
			return pid, caller
		}
		time.Sleep(awaitInterval)
	}
}

// consumed returns the processor time of a process and its resident memory in kB.
func consumed(b *testing.B, pid int) (time.Duration, float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat))
	pages, err := strconv.Atoi(fields[23])
	if err != nil {
		b.Fatal(err)
	}
	ticks := 0
	for _, f := range fields[13:15] { // user and system time
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, float64(pages*os.Getpagesize()) / 1024
}

// load sends requests at a rate per second, and returns the number of responses
// with status 200.
func load(c *http.Client, url string, rate int) int64 {
	var served atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(loadDuration)
	for range connections {
		wg.Go(func() {
			t := time.NewTicker(time.Second * connections / time.Duration(rate))
			defer t.Stop()
			for now := range t.C {
				if now.After(end) {
					return
				}
				if res, err := c.Get(url); err == nil {
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
					if res.StatusCode == http.StatusOK {
						served.Add(1)
					}
				}
			}
		})
	}
	wg.Wait()
	return served.Load()
}

// BenchmarkRates measures the processor time per request and the memory of a
// daemon in a separate process, at three request rates. Use -benchtime 1x.
func BenchmarkRates(b *testing.B) {
	pid, caller := processes(b)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer c.CloseIdleConnections()
	for _, rate := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				before, _ := consumed(b, pid)
				served := load(c, "http://"+caller.String()+"/ascent/x", rate)
				after, memory := consumed(b, pid)
				b.ReportMetric(float64((after-before).Microseconds())/float64(served), "cpu-us/request")
				b.ReportMetric(float64(served)/loadDuration.Seconds(), "requests/s")
				b.ReportMetric(memory, "resident-kB")
			}
		})
	}
}
