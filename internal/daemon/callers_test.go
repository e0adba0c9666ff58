package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/backend"
)

// response is what a caller received.
type response struct {
	status  int
	outcome string
	backend.Reply
}

// post sends one request that must not run twice.
func (fx *fixture) post(d *Daemon, service, id string) response {
	r, err := http.NewRequestWithContext(fx.Context(), http.MethodPost, "http://"+d.self.CallerAddr.String()+"/"+service+"/send", http.NoBody)
	if err != nil {
		fx.Error(err)
		return response{}
	}
	r.Header.Set("Request-Id", id)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		fx.Errorf("post %s: %v", id, err)
		return response{}
	}
	defer func() { _ = res.Body.Close() }()
	var body struct {
		Outcome string
		backend.Reply
	}
	if err := json.NewDecoder(res.Body).Decode(&body); err != nil {
		fx.Errorf("decode response to %s: %v", id, err)
	}
	return response{res.StatusCode, body.Outcome, body.Reply}
}

// ran returns how often each request ran on the backend servers.
func (fx *fixture) ran() map[string]int {
	runs := make(map[string]int)
	for _, h := range fx.Hosts {
		for request, n := range h.Runs().Requests {
			id, _, _ := strings.Cut(request, ".") // the exchange number follows
			runs[id] += n
		}
	}
	return runs
}

// check compares a response with how often the request ran.
func (fx *fixture) check(service, id string, res response, n int) {
	fx.Helper()
	switch {
	case res.status == http.StatusOK && n == 1 && res.Service == service && strings.HasPrefix(res.Request, id+"."):
	case res.status == http.StatusServiceUnavailable && n == 0 && res.outcome == "not-run":
	default:
		fx.Errorf("%s: response %+v, request ran %d times", id, res, n)
	}
}

// traffic sends requests from several callers until the returned function is
// called, which checks all responses and returns the number of requests that
// ran.
func (fx *fixture) traffic(service string, to ...*Daemon) func() int {
	type sent struct {
		id string
		response
	}
	stop, all := make(chan struct{}), make([][]sent, 2*len(to))
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%s-%d-%d", service, i, n)
				all[i] = append(all[i], sent{id, fx.post(to[i%len(to)], service, id)})
			}
		})
	}
	return func() int {
		close(stop)
		wg.Wait()
		// A connection that was never used delays the stop of a daemon by 5 s.
		http.DefaultClient.CloseIdleConnections()
		ran, runs := 0, fx.ran()
		for _, byCaller := range all {
			for _, s := range byCaller {
				fx.check(service, s.id, s.response, runs[s.id])
				if s.status == http.StatusOK {
					ran++
				}
			}
		}
		return ran
	}
}

// hold blocks one request on each host that serves a pool by a daemon's map.
// The returned function releases the requests and checks their responses.
func (fx *fixture) hold(d *Daemon, service string) func() {
	fx.Helper()
	var held []*backend.Host
	for h := range d.tracker.View().Maps["a"].In(service, fleet.Serving) {
		held = append(held, fx.Hosts[h.Name])
	}
	fx.setFaults(held, backend.Faults{Remaining: map[backend.Fault]int{backend.Freeze: 1}})
	var wg sync.WaitGroup
	for i := range held {
		wg.Go(func() {
			id := fmt.Sprintf("held-%s-%d", service, i)
			if res := fx.post(d, service, id); res.status != http.StatusOK {
				fx.Errorf("%s did not complete: %+v", id, res)
			} else {
				fx.check(service, id, res, fx.ran()[id])
			}
		})
	}
	for _, h := range held {
		<-h.Frozen()
	}
	return func() {
		fx.Helper()
		fx.setFaults(held, backend.Faults{})
		wg.Wait()
	}
}

func (fx *fixture) setFaults(hosts []*backend.Host, f backend.Faults) {
	fx.Helper()
	for _, h := range hosts {
		if err := h.SetFaults(f); err != nil {
			fx.Fatal(err)
		}
	}
}
