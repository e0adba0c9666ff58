package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it is sent to daemons.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store. It keeps all of its history.
type store struct {
	latency time.Duration

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	leases  map[int64]*lease
	history []item
	changed chan struct{}
}

func newStore(latency time.Duration) *store {
	s := &store{latency: latency, rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.apply(nil, keys)
	}
}

// apply writes and deletes keys at one new revision. The mutex must be held.
func (s *store) apply(writes []item, deletes []string) int64 {
	s.rev++
	for _, k := range deletes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.history = append(s.history, item{Key: k, Rev: s.rev, Tombstone: true})
		}
	}
	for _, w := range writes {
		w.Rev, w.Created = s.rev, s.rev
		if old, ok := s.items[w.Key]; ok {
			w.Created = old.Created
		}
		s.items[w.Key] = w
		s.history = append(s.history, w)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: b}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(nil, []string{key})
	}
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", func(w http.ResponseWriter, r *http.Request) {
		it, ok := s.get(r.FormValue("key"))
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, 200, it)
	})
	m.HandleFunc("GET /api/kv-range", s.list)
	m.HandleFunc("GET /api/kv-watch", s.watch)
	m.HandleFunc("POST /api/kv-txn", s.txn)
	m.HandleFunc("POST /api/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(400)
			return
		}
		ttl := time.Duration(max(q.TTL, 1000)) * time.Millisecond
		s.mu.Lock()
		s.rev++
		id := s.rev
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttl-ms": ttl.Milliseconds()})
	})
	m.HandleFunc("POST /api/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if l == nil {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, struct{}{})
	})
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(404)
			return
		}
		reply(w, 200, struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.latency)
		m.ServeHTTP(w, r)
	})
}

// maxPage is how many items a page of a range holds.
const maxPage = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	reply(w, 200, map[string]any{"items": items, "has-more": more, "as-of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait-ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(400)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, e := range s.history[i:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, 200, map[string]any{"events": events, "as-of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Conds   []item   `json:"expected-rev"`
		Writes  []item   `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Conds)+len(q.Writes)+len(q.Deletes) > 32 {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	now := []item{}
	for _, c := range q.Conds {
		it, ok := s.items[c.Key]
		if !ok {
			it = item{Key: c.Key}
		}
		now = append(now, it)
		conflict = conflict || it.Rev != c.Rev
	}
	for _, x := range q.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(403)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(404)
			return
		}
	}
	if conflict {
		reply(w, 412, map[string]any{"items": now})
		return
	}
	reply(w, 200, map[string]int64{"rev": s.apply(q.Writes, q.Deletes)})
}
