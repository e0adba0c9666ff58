package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	valueBytes  = 1048576
	historyTime = 20 * time.Second
	pageItems   = 500
	maxEntries  = 32
	answerTime  = 4 * time.Millisecond
)

// item is a key of the store, or an event.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's metadata store, which loses nothing.
type store struct {
	rec *record

	mu        sync.Mutex
	rev       int64
	items     map[string]item
	log       []item
	compacted int64
	leases    map[int64]*storeLease
	changed   chan struct{}
	down      bool // answers 503 to all calls of the system
	silent    bool // watches return no events
	cut       chan struct{}
	rejected  map[string]int // calls that got 400 by path
}

func newStore(rec *record) *store {
	s := &store{
		rec: rec, rev: 1, items: make(map[string]item), leases: make(map[int64]*storeLease),
		changed: make(chan struct{}), cut: make(chan struct{}), rejected: make(map[string]int),
	}
	go s.expire()
	return s
}

// expire ends leases. They pause while the store is down.
func (s *store) expire() {
	last := time.Now()
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if s.down {
				l.until = l.until.Add(now.Sub(last))
			} else if now.After(l.until) {
				s.endLease(id)
			}
		}
		for len(s.log) > 0 && now.Sub(s.log[0].at) > historyTime {
			s.compacted = max(s.compacted, s.log[0].Rev)
			s.log = s.log[1:]
		}
		last = now
		s.mu.Unlock()
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

func (s *store) apply(writes []item, deletes []string) {
	s.rev++
	now := time.Now()
	for _, w := range writes {
		it := item{Key: w.Key, Value: w.Value, Rev: s.rev, Created: s.rev, Lease: w.Lease, at: now}
		if old, ok := s.items[w.Key]; ok {
			it.Created = old.Created
		}
		s.items[w.Key] = it
		s.log = append(s.log, it)
	}
	for _, k := range deletes {
		if _, ok := s.items[k]; ok {
			delete(s.items, k)
			s.log = append(s.log, item{Key: k, Rev: s.rev, Tombstone: true, at: now})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a runner.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
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
	s.apply(nil, []string{key})
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// compact lets the watches hear nothing for a second, then drops the history and
// cuts them.
func (s *store) compact() {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.log, s.compacted = false, nil, s.rev
	close(s.cut)
	s.cut = make(chan struct{})
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", s.getKey)
	m.HandleFunc("GET /api/kv-range", s.list)
	m.HandleFunc("GET /api/kv-watch", s.watch)
	m.HandleFunc("POST /api/kv-txn", s.txn)
	m.HandleFunc("POST /api/kv-lease", s.grant)
	m.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as-of": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as-of"`
	}{it, rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		it := s.items[k]
		if len(items) == pageItems || len(items) > 0 && size+len(it.Value) > valueBytes {
			more = true
			break
		}
		items, size = append(items, it), size+len(it.Value)
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	t := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		events, rev, changed, cut := []item{}, s.rev, s.changed, s.cut
		silent := s.silent
		if !silent {
			for _, e := range s.log {
				if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
					events = append(events, e)
				}
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-t.C:
			if silent {
				rev = after
			}
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conds []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected-rev"`
		Writes  []item   `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(t.Conds)+len(t.Writes)+len(t.Deletes) > maxEntries {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	held := true
	var present []item
	for _, c := range t.Conds {
		it, ok := s.items[c.Key]
		if ok {
			present = append(present, it)
		}
		held = held && it.Rev == c.Rev
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if len(x.Value) > valueBytes || len(x.Key) > 200 {
			if s.rejected[x.Key] == 0 {
				s.rec.add("store rejects a value", "key", x.Key, "bytes", len(x.Value))
			}
			s.rejected[x.Key]++
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		if _, ok := s.leases[x.Lease]; x.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.apply(t.Writes, t.Deletes)
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(min(max(q.TTL, 1000), 600000)) * time.Millisecond
	s.mu.Lock()
	s.rev++
	id := s.rev
	s.leases[id] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.until = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
