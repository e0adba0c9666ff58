package intaketest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

const (
	// workClients send workRequests requests each, one after the other.
	workClients  = 32
	workRequests = 20
	// pipelined is how many requests a client sends without reading a response.
	pipelined = 2000
	// smallestHostMB is the memory of the smallest hosts of the deployments. With that of
	// memoryMB, a daemon decodes one body at a time.
	smallestHostMB = 184
)

// mostSteps is a valid request with the largest number of steps.
var mostSteps = []byte(`{"steps":[` + strings.Repeat(`{"count":1},`, job.MaxSteps-1) + `{"count":1}]}`)

// flood lets all clients call f for each of their requests.
func flood(f func(client, request int)) {
	var wg sync.WaitGroup
	for i := range workClients {
		wg.Go(func() {
			for k := range workRequests {
				f(i, k)
			}
		})
	}
	wg.Wait()
}

// bodiesInWork sends valid large requests from few clients, each of which goes on after a
// response.
func bodiesInWork(p *process, body []byte, fields ...string) {
	fields = append(fields, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
	flood(func(client, request int) {
		p.exchange([]string{p.head(1000+client*workRequests+request, fields...), string(body)})
	})
	p.check()
}

// TestFollowerBodiesInWork guards against a daemon that runs out of memory since bodies
// that it has read count for less than they take while they are decoded and stored.
func TestFollowerBodiesInWork(t *testing.T) {
	bodiesInWork(startWithStore(t, 0, smallestHostMB), mostSteps)
}

// TestLeaderBodiesInWork is TestFollowerBodiesInWork for a daemon that leads.
func TestLeaderBodiesInWork(t *testing.T) {
	bodiesInWork(startLeader(t, startStore(t)), manySteps.body)
}

// TestServeBodiesInWork is TestFollowerBodiesInWork for serve with slow backend servers.
func TestServeBodiesInWork(t *testing.T) { bodiesInWork(startServe(t), manySteps.body, "Work: 1s") }

// unreadResponses sends many requests on each connection and reads no response.
func unreadResponses(p *process, method string) {
	var mu sync.Mutex
	p.crowd(func(client int) []string {
		mu.Lock()
		defer mu.Unlock()
		m := p.method
		p.method = method
		head := p.head(client, "")
		p.method = m
		return split(strings.Repeat(head, pipelined), 16<<10)
	})
	p.check()
}

// TestEntryUnreadResponses guards against a process that runs out of memory or hangs since
// clients do not read its responses.
func TestEntryUnreadResponses(t *testing.T) { unreadResponses(startEntry(t), http.MethodGet) }

// TestServeUnreadResponses is TestEntryUnreadResponses for serve.
func TestServeUnreadResponses(t *testing.T) { unreadResponses(startServe(t), http.MethodGet) }

// TestLeaderQueries guards against a leader that runs out of memory or hangs since clients
// query and cancel jobs, with and without reading the responses.
func TestLeaderQueries(t *testing.T) {
	p := startLeader(t, startStore(t))
	if n := p.sendJobs(leaderCase{2, 10, []byte(`{"steps":[{"count":1,"cpu":1000}]}`)}); n != 20 {
		t.Errorf("%d of 20 jobs accepted", n)
	}
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		flood(func(client, request int) {
			r, err := http.NewRequest(method, "http://"+p.callers.String()+fmt.Sprintf("/jobs/%016x", 1000+client*request), http.NoBody)
			if err != nil {
				return
			}
			r.Host = p.host
			if res, err := http.DefaultClient.Do(r); err == nil {
				_ = res.Body.Close()
			}
		})
	}
	unreadResponses(p, http.MethodDelete)
}

// TestLeaderChange guards against daemons that run out of memory since the leader changes
// while clients send large jobs to all of them.
func TestLeaderChange(t *testing.T) {
	s := startStore(t)
	daemons := []*process{startLeader(t, s), startLeader(t, s), startLeader(t, s)}
	var wg sync.WaitGroup
	for i, p := range daemons {
		wg.Go(func() {
			flood(func(client, request int) {
				if i == 0 && client == 0 && request%3 == 2 {
					s.RevokeLeases()
				}
				p.exchange([]string{p.head(1000*(i+1)+client*workRequests+request, fmt.Sprintf("Content-Length: %d\r\n", len(manySteps.body))), string(manySteps.body)})
			})
		})
	}
	wg.Wait()
	for _, p := range daemons {
		p.check()
	}
}
