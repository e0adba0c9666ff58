package backend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against changes of the protocol that existing backend
// servers do not support: the headers of a request and the interpretation of
// responses.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	for name, response := range map[string]struct {
		status int
		header map[string]string
	}{
		"answered":    {200, map[string]string{"Request-Id": "id-1"}},
		"busy":        {503, map[string]string{"Request-Id": "id-1", "Outcome": "not-run"}},
		"leaving":     {503, map[string]string{"Request-Id": "id-1", "Outcome": "not-run", "Leaving": "true"}},
		"unavailable": {503, map[string]string{"Request-Id": "id-1"}},
		"crossed":     {200, map[string]string{"Request-Id": "id-2"}},
	} {
		var received []string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			for k, v := range r.Header {
				received = append(received, fmt.Sprint(k, v))
			}
			slices.Sort(received)
			received = append(received, r.Method, r.URL.String(), string(b))
			for k, v := range response.header {
				w.Header().Set(k, v)
			}
			w.WriteHeader(response.status)
			_, _ = io.WriteString(w, "body")
		}))
		c := new(Client)
		res := c.Exchange(t.Context(), Runner{Host: "h", Addr: netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), Slots: 1}, &Request{
			ID: "id-1", Method: http.MethodPost, Target: "/t?q=1", Header: http.Header{"X-Own": {"v"}, "Te": {"trailers"}},
			Body: []byte("body"), Deadline: time.Date(2100, 1, 2, 3, 4, 5, 678e6, time.UTC),
		})
		c.Close()
		<-c.Done()
		srv.Close()
		got := fmt.Sprint(res.Outcome, " ", res.Reason, " ", res.Leaving)
		if a := res.Response; a != nil {
			a.Header.Del("Date")
			got += fmt.Sprint(" ", *a)
		}
		f.Check(name, []byte(strings.Join(received, " ")+" -> "+got))
	}
}
