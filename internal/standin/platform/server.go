package platform

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/faults"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/kv"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// Server serves the platform over HTTP. Set its fields before calling Handler.
type Server struct {
	// Store is the key-value store; nil means a new, empty one.
	Store *kv.Store
	// Runners starts and stops the runners of tasks; nil means a Remote.
	Runners Runners
	// Now is the clock of hosts and tasks; nil means time.Now.
	Now func() time.Time
	// TaskTTL is the lease duration of a task; zero means 10 min.
	TaskTTL time.Duration
	// Faults injects faults into the calls.
	Faults faults.Injector

	hosts hosts
	tasks tasks

	closed context.Context
	close  context.CancelFunc
	wg     sync.WaitGroup
}

// Handler initializes the server with its hosts and returns its handler.
func (s *Server) Handler(hosts []Host) http.Handler {
	if s.Store == nil {
		s.Store = &kv.Store{Now: s.Now}
	}
	if s.Runners == nil {
		s.Runners = &Remote{}
	}
	if s.TaskTTL == 0 {
		s.TaskTTL = 10 * time.Minute
	}
	s.closed, s.close = context.WithCancel(context.Background())
	s.Faults.Closed = s.closed.Done()
	s.hosts.seed(s.now(), hosts)
	s.tasks.byID = make(map[string]*task)

	routes := map[string]rest.Handler{
		"GET /hosts":                  s.listHosts,
		"POST /hosts/{name}/reboot":   s.rebootHost,
		"GET /usage":                  s.listUsage,
		"GET /tasks":                  s.listTasks,
		"PUT /tasks/{id}":             s.startTask,
		"DELETE /tasks/{id}":          s.stopTask,
		"POST /tasks/{id}/checkpoint": s.checkpointTask,
		"POST /tasks/{id}/throttle":   s.throttleTask,
		"POST /renewals":              s.renewTasks,
	}
	maps.Copy(routes, (&kv.Gateway{Store: s.Store, Faults: &s.Faults}).Routes())
	mux := http.NewServeMux()
	for pattern, h := range routes {
		mux.Handle(pattern, s.Faults.Wrap(h))
	}
	// Calls by which the test controls the stand-in are exempt from faults.
	for pattern, h := range map[string]rest.Handler{
		"PUT /hosts/{name}": s.setHostState,
		"PUT /usage":        s.setUsage,
		"PUT /faults":       s.Faults.Put,
		"GET /faults":       s.Faults.Get,
	} {
		mux.Handle(pattern, h)
	}
	return mux
}

// Close ends the watches and the frozen calls, cancels the calls to Runners and
// waits for them to return.
func (s *Server) Close() {
	s.close()
	s.wg.Wait()
}

// Tick removes expired leases and stops the tasks whose lease has expired.
func (s *Server) Tick() {
	s.Store.Expire()
	s.expireTasks()
}

func (s *Server) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}
