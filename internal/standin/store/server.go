package store

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/kv"
)

const (
	// maxPageItems and maxPageBytes bound a page of a list, as in the platform's contract.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// Server serves a Store with the platform's HTTP protocol.
type Server struct {
	Store
	Busy          atomic.Bool  // all calls are rejected with status 503
	Delay         atomic.Int64 // additional duration of each call
	LoseResponses atomic.Bool  // one of three transactions gets no response
	txns          atomic.Int64
}

type wireItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func toWire(it kv.Item) wireItem {
	return wireItem{Key: it.Key, Value: it.Value, Rev: int64(it.Rev), Created: int64(it.Created), Lease: int64(it.Lease)}
}

func wireItems(items []kv.Item) []wireItem {
	ws := make([]wireItem, len(items))
	for i, it := range items {
		ws[i] = toWire(it)
	}
	return ws
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a disconnected caller needs no response
}

// Handler returns the HTTP handler of the store.
func (s *Server) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /api/kv-key", s.get)
	m.HandleFunc("GET /api/kv-range", s.list)
	m.HandleFunc("GET /api/kv-watch", s.watch)
	m.HandleFunc("POST /api/kv-txn", s.txn)
	m.HandleFunc("POST /api/kv-lease", s.grant)
	m.HandleFunc("POST /api/kv-keep/{id}", s.leaseHandler(func(r *http.Request, l kv.Lease) error { return s.Renew(r.Context(), l) }))
	m.HandleFunc("DELETE /api/kv-lease-end/{id}", s.leaseHandler(func(r *http.Request, l kv.Lease) error { return s.Revoke(r.Context(), l) }))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(s.Delay.Load()))
		if s.Busy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		m.ServeHTTP(w, r)
	})
}

// fail writes the status that corresponds to an error of the stand-in.
func fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, kv.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, kv.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, kv.ErrRejected):
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	it, err := s.Get(r.Context(), r.FormValue("key"))
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, toWire(it))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	items, rev, err := s.List(r.Context(), r.FormValue("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	first := sort.Search(len(items), func(i int) bool { return items[i].Key > r.FormValue("after") })
	page, size := items[first:], 0
	for i, it := range page {
		if size += len(it.Value); i == maxPageItems || i > 0 && size > maxPageBytes {
			page = page[:i]
			break
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": wireItems(page), "has-more": first+len(page) < len(items), "as-of": int64(rev)})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.FormValue("wait-ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	events, rev, err := s.Watch(r.Context(), r.FormValue("prefix"), kv.Revision(after), time.Now().Add(time.Duration(wait)*time.Millisecond))
	if err != nil {
		fail(w, err)
		return
	}
	ws := make([]wireItem, len(events))
	for i, e := range events {
		ws[i] = toWire(e.Item)
		ws[i].Tombstone = e.Deleted
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": ws, "as-of": int64(rev)})
}

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Conds   []wireItem `json:"expected-rev"`
		Writes  []wireItem `json:"writes"`
		Deletes []string   `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := kv.Txn{Deletes: q.Deletes}
	for _, c := range q.Conds {
		t.Conds = append(t.Conds, kv.Cond{Key: c.Key, Rev: kv.Revision(c.Rev)})
	}
	for _, x := range q.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		t.Writes = append(t.Writes, kv.Write{Key: x.Key, Value: x.Value, Lease: kv.Lease(x.Lease)})
	}
	rev, err := s.Commit(r.Context(), t)
	if s.LoseResponses.Load() && s.txns.Add(1)%3 == 0 {
		panic(http.ErrAbortHandler) // no response, whether or not the transaction was applied
	}
	var conflict *kv.Conflict
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": wireItems(conflict.Items)})
	case err != nil:
		fail(w, err)
	default:
		writeJSON(w, http.StatusOK, map[string]int64{"rev": int64(rev)})
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l, ttl, err := s.Grant(r.Context(), time.Duration(q.TTL)*time.Millisecond)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": int64(l), "ttl-ms": ttl.Milliseconds()})
}

func (s *Server) leaseHandler(call func(*http.Request, kv.Lease) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if err := call(r, kv.Lease(id)); err != nil {
			fail(w, err)
			return
		}
		writeJSON(w, http.StatusOK, struct{}{})
	}
}
