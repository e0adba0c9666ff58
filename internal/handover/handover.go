// Package handover lets a new leader ask the previous one to end its term.
//
// A leader that was paused, or that cannot reach the store, may send commands to runners
// for some time after its term. Until then the next leader waits before it starts tasks
// that may run on runners which it cannot reach. It need not once the previous leader has
// replied that the term has ended. Without a reply, as from a daemon of an earlier
// version, it waits.
//
// Requests and replies are CBOR over HTTP. A request that arrives late, or twice, ends no
// later term: it names the one that is to end. A request opens a connection of its own,
// since the one before may be held by the pause of the other process.
package handover

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// Path is the URL path at which a daemon accepts requests. It contains the version of
// the messages.
const Path = "/handover/1"

const (
	// replyTimeout bounds a request, from dialing to the reply, which takes
	// milliseconds.
	replyTimeout = 500 * time.Millisecond
	// maxMessage bounds a message in bytes.
	maxMessage = 4 << 10
)

type request struct {
	Term runner.Term `cbor:"1,keyasint"`
}

type reply struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Ended       bool   `cbor:"3,keyasint,omitempty"`
}

// Leader ends terms of this process.
type Leader interface {
	EndTerm(id runner.Term) lead.TermState
}

// Handler replies to requests.
func Handler(l Leader) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q request
		b, err := io.ReadAll(io.LimitReader(r.Body, maxMessage))
		if err == nil {
			err = cbor.Unmarshal(b, &q)
		}
		if err != nil || q.Term <= 0 {
			http.Error(w, "decode request", http.StatusBadRequest)
			return
		}
		s := l.EndTerm(q.Term)
		if b, err = cbor.Marshal(reply{Name: s.Name, Incarnation: s.Incarnation, Ended: s.Ended}); err != nil {
			http.Error(w, "encode reply", http.StatusInternalServerError)
			return
		}
		w.Write(b)
	})
}

// Client sends requests.
type Client struct{}

var (
	_ lead.Peers = (*Client)(nil)
	_ Leader     = (*lead.Leader)(nil)
)

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// EndTerm asks the process at an address to end a term of its own.
func (*Client) EndTerm(ctx context.Context, at netip.AddrPort, id runner.Term) (lead.TermState, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	b, err := cbor.Marshal(request{Term: id})
	if err != nil {
		return lead.TermState{}, errors.Wrap(err, "encode request")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+Path, bytes.NewReader(b))
	if err != nil {
		return lead.TermState{}, errors.Wrap(err, "build request")
	}
	resp, err := client.Do(q)
	if err != nil {
		return lead.TermState{}, errors.Wrapf(err, "end term %d", id)
	}
	defer resp.Body.Close() //nolint:errcheck // it was read
	b, err = io.ReadAll(io.LimitReader(resp.Body, maxMessage))
	if err != nil {
		return lead.TermState{}, errors.Wrapf(err, "end term %d", id)
	}
	if resp.StatusCode != http.StatusOK {
		return lead.TermState{}, errors.Errorf("end term %d: unexpected status %d", id, resp.StatusCode)
	}
	var r reply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return lead.TermState{}, errors.Wrapf(err, "end term %d: decode reply", id)
	}
	if r.Incarnation == "" {
		return lead.TermState{}, errors.Errorf("end term %d: reply without a process", id)
	}
	return lead.TermState{Name: r.Name, Incarnation: r.Incarnation, Ended: r.Ended}, nil
}
