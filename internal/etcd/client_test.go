package etcd_test

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/etcd/gateway"
	standin "gypsumtrestle.example/gypsumtrestle/internal/standin/platform"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clock is a clock that only the test moves.
type clock struct{ now atomic.Int64 }

func (c *clock) Now() time.Time          { return time.Unix(1e9, c.now.Load()) }
func (c *clock) Advance(d time.Duration) { c.now.Add(int64(d)) }

// runners starts every runner immediately, at the address of its host.
type runners struct{}

func (runners) Start(_ context.Context, control netip.AddrPort, _, _ string, _ int) (netip.AddrPort, error) {
	return control, nil
}
func (runners) Stop(context.Context, netip.AddrPort, string) error { return nil }

func serve(t testing.TB) (*standin.Server, *clock, *etcd.Client) {
	t.Helper()
	ck := &clock{}
	s := &standin.Server{Now: ck.Now, Runners: runners{}}
	srv := httptest.NewServer(s.Handler([]standin.Host{
		{Host: etcd.Host{Name: "w1", Zone: "waco", Role: "worker"}, Control: netip.MustParseAddrPort("127.0.0.1:9")},
		{Host: etcd.Host{Name: "e1", Zone: "austin", Role: "entry"}},
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(s.Close)
	return s, ck, client(t, srv.URL)
}

func client(t testing.TB, base string) *etcd.Client {
	t.Helper()
	u, err := url.Parse(base)
	if err != nil {
		t.Fatal(err)
	}
	c := &etcd.Client{URL: u, Zone: "waco", Timeout: time.Minute, Budget: gateway.Budget{Writes: rate.Inf, Reads: rate.Inf}}
	t.Cleanup(c.Close)
	return c
}

func put(key, value string) etcd.Put { return etcd.Put{Key: key, Value: []byte(value)} }

// must fails the test if the transaction is not applied.
func must(t *testing.T, s etcd.Store, x etcd.Txn) int64 {
	t.Helper()
	res, err := s.Do(t.Context(), x)
	if err != nil || !res.Applied {
		t.Fatalf("Do = %+v, %v", res, err)
	}
	return res.Revision
}

func isUnknown(err error) bool {
	var u *etcd.UnknownError
	return errors.As(err, &u)
}

// Guards against conditions or revisions that are lost in encoding.
func TestStore(t *testing.T) {
	_, _, c := serve(t)
	ctx := t.Context()
	first := must(t, c, etcd.Txn{Conds: []etcd.Cond{{Key: "/a/1"}}, Puts: []etcd.Put{put("/a/1", "x"), put("/a/2", "y")}})
	second := must(t, c, etcd.Txn{Puts: []etcd.Put{put("/a/1", "z")}})
	p, err := c.Get(ctx, "/a/1")
	if err != nil || string(p.Value) != "z" || p.Created != first || p.Modified != second {
		t.Errorf("Get = %+v, %v", p, err)
	}
	if p, err := c.Get(ctx, "/a"); err != nil || p.Key != "" {
		t.Errorf("Get of a missing key = %+v, %v", p, err)
	}
	for _, cond := range []etcd.Cond{{Key: "/a/1"}, {Key: "/a/1", Modified: first}, {Key: "/a/1", Created: second}, {Key: "/a/1", Created: second, Modified: second}} {
		res, err := c.Do(ctx, etcd.Txn{Conds: []etcd.Cond{cond}, Puts: []etcd.Put{put("/a/1", "no")}, Else: []string{"/a/1", "/none"}})
		if err != nil || res.Applied || len(res.Else) != 1 || string(res.Else[0].Value) != "z" {
			t.Errorf("Do with %+v = %+v, %v", cond, res, err)
		}
	}
	must(t, c, etcd.Txn{Conds: []etcd.Cond{{Key: "/a/1", Created: first, Modified: second}}, Puts: []etcd.Put{{Key: "/a/1", Delete: true}}})
	ps, rev, err := c.List(ctx, "/a/")
	if err != nil || len(ps) != 1 || ps[0].Key != "/a/2" || rev != second+1 {
		t.Errorf("List = %+v, %d, %v", ps, rev, err)
	}
	big := etcd.Put{Key: "/big", Value: make([]byte, etcd.MaxValueSize)}
	must(t, c, etcd.Txn{Puts: []etcd.Put{big}})
	big.Value = append(big.Value, 0)
	if _, err := c.Do(ctx, etcd.Txn{Puts: []etcd.Put{big}}); err == nil || isUnknown(err) {
		t.Errorf("Do with a large value = %v", err)
	}
}

// Guards against a write that took effect and is reported as failed, and against
// a write that certainly did nothing and is reported as unknown.
func TestUnknownOutcome(t *testing.T) {
	s, _, c := serve(t)
	ctx := t.Context()
	must(t, c, etcd.Txn{Puts: []etcd.Put{put("/k", "0")}})
	for _, tc := range []struct {
		name    string
		faults  faults.Faults
		unknown bool
		value   string
	}{
		{"lost", faults.Faults{LoseResponses: 1}, true, "lost"},
		{"refused", faults.Faults{Refuse: true}, false, "lost"},
		{"cut", faults.Faults{CutZones: []string{"waco"}}, true, "lost"},
		{"other zone cut", faults.Faults{CutZones: []string{"austin"}}, false, "other zone cut"},
	} {
		s.Faults.Set(tc.faults)
		_, err := c.Do(ctx, etcd.Txn{Puts: []etcd.Put{put("/k", tc.name)}})
		if isUnknown(err) != tc.unknown {
			t.Errorf("%s: Do = %v", tc.name, err)
		}
		s.Faults.Set(faults.Faults{})
		if p, err := c.Get(ctx, "/k"); err != nil || string(p.Value) != tc.value {
			t.Errorf("%s: Get = %q, %v", tc.name, p.Value, err)
		}
	}
	s.Faults.Set(faults.Faults{CutZones: []string{"waco"}})
	if _, err := c.Get(ctx, "/k"); err == nil || isUnknown(err) {
		t.Errorf("Get in a disconnected zone = %v", err)
	}
	dead := client(t, "http://127.0.0.1:1")
	if _, err := dead.Do(ctx, etcd.Txn{Puts: []etcd.Put{put("/k", "")}}); err == nil || isUnknown(err) {
		t.Errorf("Do without a connection = %v", err)
	}
	slow := client(t, c.URL.String())
	slow.Timeout = time.Nanosecond
	if _, err := slow.Do(ctx, etcd.Txn{Puts: []etcd.Put{put("/k", "")}}); err == nil || isUnknown(err) {
		t.Errorf("Do that timed out before it was sent = %v", err)
	}
}

// Guards against http.Transport retrying a request on a reused connection that
// was closed after the server had read the request.
func TestWriteIsNotSentAgain(t *testing.T) {
	var (
		mu   sync.Mutex
		seen []string
	)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen = append(seen, r.Method+" "+r.URL.Path)
		first := len(seen) == 1
		mu.Unlock()
		if first {
			w.Write([]byte(`{"header":{"revision":"2"}}`))
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			err = conn.Close()
		}
		if err != nil {
			t.Error(err)
		}
	}))
	defer srv.Close()
	for _, write := range []func(c *etcd.Client) error{
		func(c *etcd.Client) error {
			_, err := c.Do(t.Context(), etcd.Txn{Puts: []etcd.Put{put("/k", "v")}})
			return err
		},
		func(c *etcd.Client) error { return c.StopTask(t.Context(), "t1") },
		func(c *etcd.Client) error { return c.KeepAlive(t.Context(), 1) },
		func(c *etcd.Client) error {
			_, err := c.StartTask(t.Context(), "t1", "w1", "ascent", 8)
			return err
		},
	} {
		mu.Lock()
		seen = nil
		mu.Unlock()
		c := client(t, srv.URL)
		if _, err := c.Get(t.Context(), "/k"); err != nil {
			t.Fatal(err)
		}
		if err := write(c); !isUnknown(err) {
			t.Errorf("write = %v", err)
		}
		mu.Lock()
		if len(seen) != 2 {
			t.Errorf("the server received %q", seen)
		}
		mu.Unlock()
	}
}

// Guards against a truncated response that is treated as complete, and against a
// write that follows a redirect and so is sent twice.
func TestTruncatedResponse(t *testing.T) {
	const undecodable = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"header\""
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		undecodable,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 307 Temporary Redirect\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n",
	} {
		var seen atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			seen.Add(1)
			conn, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close() //nolint:errcheck // the test closes the connection on purpose
			flush(t, rw, response)
		}))
		if _, err := client(t, srv.URL).Do(t.Context(), etcd.Txn{Puts: []etcd.Put{put("/k", "v")}}); !isUnknown(err) {
			t.Errorf("%q: Do = %v", response, err)
		}
		// A stop has no response body to decode.
		if err := client(t, srv.URL).StopTask(t.Context(), "t1"); isUnknown(err) == (response == undecodable) {
			t.Errorf("%q: StopTask = %v", response, err)
		}
		if n := seen.Load(); n != 2 {
			t.Errorf("%q: %d requests for two calls", response, n)
		}
		srv.Close()
	}
}

func flush(t *testing.T, rw *bufio.ReadWriter, s string) {
	if _, err := rw.WriteString(s); err != nil {
		t.Error(err)
	}
	if err := rw.Flush(); err != nil {
		t.Error(err)
	}
}

// Guards against a watch that loses or repeats changes when it resumes, and
// against a disconnected zone that still receives them.
func TestWatchResumes(t *testing.T) {
	s, _, c := serve(t)
	must(t, c, etcd.Txn{Puts: []etcd.Put{put("/w/1", "")}})
	var got []string
	after := int64(0)
	watch := func(until string) error {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		return c.Watch(ctx, "/w/", after, func(e etcd.Event) {
			got, after = append(got, e.Key), e.Modified
			switch e.Key {
			case until:
				cancel()
			case "/w/3":
				s.Faults.Set(faults.Faults{CutZones: []string{"waco"}})
			}
		})
	}
	must(t, c, etcd.Txn{Puts: []etcd.Put{put("/w/2", ""), put("/w/3", "")}})
	if err := watch("never"); err == nil || errors.Is(err, context.Canceled) {
		t.Errorf("Watch in a disconnected zone = %v", err)
	}
	other := client(t, c.URL.String())
	other.Zone = "austin"
	must(t, other, etcd.Txn{Puts: []etcd.Put{put("/w/4", "")}})
	must(t, other, etcd.Txn{Puts: []etcd.Put{{Key: "/w/1", Delete: true}}})
	s.Faults.Set(faults.Faults{})
	if err := watch("/w/1"); !errors.Is(err, context.Canceled) {
		t.Errorf("Watch = %v", err)
	}
	must(t, c, etcd.Txn{Puts: []etcd.Put{put("/w/5", "")}})
	if err := watch("/w/5"); !errors.Is(err, context.Canceled) {
		t.Errorf("Watch = %v", err)
	}
	if want := []string{"/w/1", "/w/2", "/w/3", "/w/4", "/w/1", "/w/5"}; !slices.Equal(got, want) {
		t.Errorf("events %q, want %q", got, want)
	}
}

func BenchmarkClient(b *testing.B) {
	_, _, c := serve(b)
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if _, err := c.Do(b.Context(), etcd.Txn{Puts: []etcd.Put{put("/k", "v")}}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, err := c.Get(b.Context(), "/k"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// TestHostListReadWhenChanged guards against a host list that is sent again
// although it has not changed, which would exceed the limit on control traffic,
// and against a change that is missed.
func TestHostListReadWhenChanged(t *testing.T) {
	_, _, c := serve(t)
	first, err := c.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	again, err := c.Hosts(t.Context())
	if err != nil || len(first) == 0 || &again[0] != &first[0] {
		t.Errorf("unchanged host list was sent again: %v", err)
	}
	r, err := http.NewRequest(http.MethodPut, c.URL.JoinPath("hosts", first[0].Name).String(), strings.NewReader(`{"state":"leaving"}`))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	changed, err := c.Hosts(t.Context())
	if err != nil || changed[0].State != etcd.Leaving {
		t.Errorf("got %v, %v, want a leaving host", changed, err)
	}
}
