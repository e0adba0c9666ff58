package handover

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gypsumtrestle.example/gypsumtrestle/internal/lead"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/runner"
)

// TestRecorded guards against daemons of different versions that misread each other's
// requests and replies.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.hex")
	recorded.RoundTrip(f, "request", recorded.Encoder[request](cbor.Marshal), recorded.Decoder[request](cbor.Unmarshal))
	recorded.RoundTrip(f, "reply", recorded.Encoder[reply](cbor.Marshal), recorded.Decoder[reply](cbor.Unmarshal))
}

type fakeLeader struct{ asked []runner.Term }

func (l *fakeLeader) EndTerm(id runner.Term) lead.TermState {
	l.asked = append(l.asked, id)
	return lead.TermState{Name: "d", Incarnation: "i", Ended: len(l.asked) > 1}
}

// TestEndTerm guards against a reply that is lost on the way between two daemons, or
// made up where there is none.
func TestEndTerm(t *testing.T) {
	l := &fakeLeader{}
	srv := httptest.NewServer(Handler(l))
	at := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	var c Client
	for _, ended := range []bool{false, true} {
		if s, err := c.EndTerm(t.Context(), at, 7); err != nil || s != (lead.TermState{Name: "d", Incarnation: "i", Ended: ended}) {
			t.Errorf("state %+v, %v, want ended %t", s, err, ended)
		}
	}
	if _, err := c.EndTerm(t.Context(), at, 0); err == nil || len(l.asked) != 2 || l.asked[0] != 7 {
		t.Errorf("asked for terms %v (%v), want 7 twice", l.asked, err)
	}
	srv.Close()
	if s, err := c.EndTerm(t.Context(), at, 7); err == nil {
		t.Errorf("state %+v of a daemon that is gone", s)
	}
	for name, h := range map[string]http.HandlerFunc{
		"an earlier version": http.NotFound,
		"an empty reply":     func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte{0xa0}) },
		"another protocol":   func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) },
	} {
		srv := httptest.NewServer(h)
		if s, err := c.EndTerm(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), 7); err == nil {
			t.Errorf("%s: state %+v", name, s)
		}
		srv.Close()
	}
}
