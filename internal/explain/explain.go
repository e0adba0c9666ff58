// Package explain lets an operator ask the leader where a job would go now, and why,
// without submitting it.
//
// A request is the body of a job as callers send it, with the names of its queue and
// workspace in the URL, to the peer address of any entry daemon. A daemon that does not
// lead redirects it to the leader. The reply is a sched.Explanation as JSON.
package explain

import (
	"bytes"
	"context"
	"encoding/json"
	stderrors "errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// Path is the URL path at which a daemon accepts requests. It contains the version of
// the messages.
const Path = "/explain/1"

const (
	// MaxBody bounds a job in bytes, also where the configuration allows callers more.
	MaxBody = 1 << 20
	// maxReply bounds a reply, or its error text, in bytes.
	maxReply = 1 << 20
	// bodyTimeout bounds the reading of a job and the writing of a reply by a daemon.
	bodyTimeout = 2 * time.Second
	// requestTimeout bounds a request, with its redirects.
	requestTimeout = 5 * time.Second
	// maxRedirects allows for a leader that changes during a request.
	maxRedirects = 3
)

// Leader is the leader as a daemon knows it.
type Leader interface {
	// Explain returns an explanation, and whether this daemon leads.
	Explain(j *job.Job) (e *sched.Explanation, leads bool, err error)
	// RemoteLeader returns the address of the leader, which is not valid if there is none
	// or this daemon leads.
	RemoteLeader() (netip.AddrPort, <-chan struct{})
}

// Handler replies to requests. The leader handles one at a time, which bounds their memory
// and the time for which its state is locked.
type Handler struct {
	Leader Leader
	Config func() *job.Config
	// Decode decodes a job of a queue as callers send it.
	Decode func(b []byte, q *job.Queue, now time.Time) (*job.Job, error)
	mu     sync.Mutex
}

// ServeHTTP replies to a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "expected POST", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Connection", "close") // the deadlines are those of the connection
	deadline, c := time.Now().Add(bodyTimeout), http.NewResponseController(w)
	if err := stderrors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline)); err != nil {
		http.Error(w, "set deadlines: "+err.Error(), http.StatusInternalServerError)
		return
	}
	if leader, _ := h.Leader.RemoteLeader(); leader.IsValid() {
		u := url.URL{Scheme: "http", Host: leader.String(), Path: Path, RawQuery: r.URL.RawQuery}
		http.Redirect(w, r, u.String(), http.StatusTemporaryRedirect)
		return
	}
	if !h.mu.TryLock() {
		http.Error(w, "another explanation is in progress", http.StatusServiceUnavailable)
		return
	}
	defer h.mu.Unlock()
	status, reply := h.explain(w, r)
	w.WriteHeader(status)
	w.Write(reply)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) (status int, reply []byte) {
	cfg := h.Config()
	if cfg == nil {
		return http.StatusServiceUnavailable, []byte("no configuration yet")
	}
	values := r.URL.Query()
	q := cfg.Queues[values.Get("queue")]
	if q == nil {
		return http.StatusNotFound, []byte("no queue of this name in the configuration")
	}
	limit := int64(MaxBody)
	if n := cfg.Limits.BodyBytes; n > 0 {
		limit = min(limit, n)
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case stderrors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge, []byte("job is too long")
	case err != nil:
		return http.StatusBadRequest, []byte("read job: " + err.Error())
	}
	j, err := h.Decode(b, q, time.Now())
	if err != nil {
		return http.StatusBadRequest, []byte(err.Error())
	}
	j.Workspace = values.Get("workspace")
	e, leads, err := h.Leader.Explain(j)
	switch {
	case err != nil:
		return http.StatusConflict, []byte(err.Error())
	case !leads:
		return http.StatusServiceUnavailable, []byte("no leader, or it is still loading its state")
	}
	if b, err = json.Marshal(e); err != nil {
		return http.StatusInternalServerError, []byte("encode reply: " + err.Error())
	}
	return http.StatusOK, b
}

// client opens a connection for each request, since requests are rare.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > maxRedirects {
			return errors.New("the daemons disagree on the leader")
		}
		return nil
	},
}

// Ask asks the daemon at a peer address, and the leader that it names, to explain a job.
func Ask(ctx context.Context, at netip.AddrPort, queue, workspace string, body []byte) (*sched.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: at.String(), Path: Path, RawQuery: url.Values{"queue": {queue}, "workspace": {workspace}}.Encode()}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := client.Do(q)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, errors.Wrap(err, "read explanation")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s: status %d: %s", resp.Request.URL.Host, resp.StatusCode, strings.TrimSpace(string(b)))
	}
	var e sched.Explanation
	return &e, errors.Wrap(json.Unmarshal(b, &e), "decode explanation")
}
