package platform

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/standin/platform/rest"
)

// States of a task.
const (
	starting = "starting"
	running  = "running"
	failed   = "failed"
	stopped  = "stopped"
)

// retention is how long an ended task remains in the list.
const retention = 10 * time.Minute

// task is a task with the progress of its start and stop. A task that is
// being stopped is listed as running until its runner has stopped.
type task struct {
	etcd.Task
	control     netip.AddrPort
	zone        string
	started     chan struct{} // closed when the start has succeeded or failed
	stopping    *stop         // the stop in progress, or the last one; nil if none
	ended       time.Time
	checkpoints int
	share       float64
}

func (t *task) active() bool { return t.State == starting || t.State == running }

// end sets a final state, unless the task already has one.
func (t *task) end(state string, now time.Time) {
	if t.active() {
		t.State, t.ended = state, now
	}
}

// stop is one attempt to stop a runner.
type stop struct {
	done chan struct{}
	err  error // set before done is closed
}

type tasks struct {
	mu   sync.Mutex
	byID map[string]*task
}

func (ts *tasks) activeOn(host string) string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for id, t := range ts.byID {
		if t.Host == host && t.active() {
			return id
		}
	}
	return ""
}

func (ts *tasks) failAll(host string, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.byID {
		if t.Host == host {
			t.end(failed, now)
		}
	}
}

// change updates one task.
func (ts *tasks) change(id string, f func(*task)) error {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t, ok := ts.byID[id]
	if !ok {
		return errors.Wrapf(rest.ErrNotFound, "task %s", id)
	}
	f(t)
	return nil
}

func (s *Server) listTasks(w http.ResponseWriter, r *http.Request) error {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	rows := []etcd.Task{}
	for _, t := range s.tasks.byID {
		if t.zone == r.FormValue("zone") {
			rows = append(rows, t.Task)
		}
	}
	slices.SortFunc(rows, func(a, b etcd.Task) int { return cmp.Compare(a.ID, b.ID) })
	return rest.Reply(w, rows)
}

// startTask adds a task and starts its runner in the background.
func (s *Server) startTask(w http.ResponseWriter, r *http.Request) error {
	var q etcd.TaskStart
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	host, err := s.hosts.get(q.Host)
	if err != nil {
		return err
	}
	want := etcd.Task{ID: r.PathValue("id"), Host: q.Host, Service: q.Service, Slots: q.Slots, State: starting}
	t, err := s.addTask(host, want)
	if err != nil {
		return err
	}
	return rest.Reply(w, t)
}

func (s *Server) addTask(host Host, want etcd.Task) (etcd.Task, error) {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	if t, ok := s.tasks.byID[want.ID]; ok {
		if t.Host != want.Host || t.Service != want.Service || t.Slots != want.Slots {
			return want, errors.Wrapf(rest.ErrConflict, "task %s exists with another host, service or number of slots", want.ID)
		}
		return t.Task, nil
	}
	if host.State == etcd.Gone {
		return want, errors.Wrapf(rest.ErrConflict, "host %s is gone", host.Name)
	}
	want.Deadline = s.now().Add(s.TaskTTL)
	t := &task{Task: want, control: host.Control, zone: host.Zone, started: make(chan struct{}), share: 1}
	s.tasks.byID[want.ID] = t
	s.wg.Go(func() { s.start(t) })
	return want, nil
}

func (s *Server) start(t *task) {
	defer close(t.started)
	addr, err := s.Runners.Start(s.closed, t.control, t.ID, t.Service, t.Slots)
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	switch {
	case err != nil:
		t.end(failed, s.now())
	case t.active():
		t.State, t.Addr = running, addr
	}
}

// stopTask replies after the runner has stopped. The stop continues if the
// caller disconnects.
func (s *Server) stopTask(w http.ResponseWriter, r *http.Request) error {
	var st *stop
	if err := s.tasks.change(r.PathValue("id"), func(t *task) { st = s.beginStop(t) }); err != nil {
		return err
	}
	select {
	case <-st.done:
	case <-r.Context().Done():
		return r.Context().Err()
	}
	if st.err != nil {
		return st.err
	}
	return rest.Reply(w, struct{}{})
}

// beginStop begins to stop a task, or returns the stop that is in progress or
// has succeeded. A failed stop is retried.
func (s *Server) beginStop(t *task) *stop {
	st := t.stopping
	if st != nil {
		select {
		case <-st.done:
			if st.err == nil {
				return st
			}
		default:
			return st
		}
	}
	st = &stop{done: make(chan struct{})}
	t.stopping = st
	s.wg.Go(func() { s.stop(t, st) })
	return st
}

func (s *Server) stop(t *task, st *stop) {
	defer close(st.done)
	<-t.started
	s.tasks.mu.Lock()
	active := t.active()
	s.tasks.mu.Unlock()
	if !active {
		return
	}
	if st.err = s.Runners.Stop(s.closed, t.control, t.ID); st.err != nil {
		return
	}
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	t.end(stopped, s.now())
}

func (s *Server) renewTasks(w http.ResponseWriter, r *http.Request) error {
	var q etcd.TaskRenewal
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	for _, id := range q.IDs {
		if t := s.tasks.byID[id]; t != nil && t.active() {
			t.Deadline = s.now().Add(s.TaskTTL)
		}
	}
	return rest.Reply(w, struct{}{})
}

func (s *Server) checkpointTask(w http.ResponseWriter, r *http.Request) error {
	if err := s.tasks.change(r.PathValue("id"), func(t *task) { t.checkpoints++ }); err != nil {
		return err
	}
	return rest.Reply(w, struct{}{})
}

func (s *Server) throttleTask(w http.ResponseWriter, r *http.Request) error {
	var q etcd.TaskThrottle
	if err := rest.Decode(r, &q); err != nil {
		return err
	}
	if !(q.Share >= 0 && q.Share <= 1) {
		return errors.Wrapf(rest.ErrInvalid, "share %g", q.Share)
	}
	if err := s.tasks.change(r.PathValue("id"), func(t *task) { t.share = q.Share }); err != nil {
		return err
	}
	return rest.Reply(w, struct{}{})
}

// expireTasks stops the tasks whose lease has expired, and removes those that
// ended longer than retention ago.
func (s *Server) expireTasks() {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	now := s.now()
	for id, t := range s.tasks.byID {
		switch {
		case t.active() && !now.Before(t.Deadline):
			s.beginStop(t)
		case !t.active() && now.Sub(t.ended) > retention:
			delete(s.tasks.byID, id)
		}
	}
}
