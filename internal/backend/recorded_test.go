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

// TestRecorded guards against a protocol that backend servers do not know: the
// headers of a request and the reading of answers.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	for name, answer := range map[string]struct {
		status int
		header map[string]string
	}{
		"answered":    {200, map[string]string{"Request-Id": "id-1"}},
		"busy":        {503, map[string]string{"Request-Id": "id-1", "Outcome": "not-run"}},
		"leaving":     {503, map[string]string{"Request-Id": "id-1", "Outcome": "not-run", "Leaving": "true"}},
		"unavailable": {503, map[string]string{"Request-Id": "id-1"}},
		"crossed":     {200, map[string]string{"Request-Id": "id-2"}},
	} {
		var said []string
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			for k, v := range r.Header {
				said = append(said, fmt.Sprint(k, v))
			}
			slices.Sort(said)
			said = append(said, r.Method, r.URL.String(), string(b))
			for k, v := range answer.header {
				w.Header().Set(k, v)
			}
			w.WriteHeader(answer.status)
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
		f.Check(name, []byte(strings.Join(said, " ")+" -> "+got))
	}
}
