package operator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against changes in the stored record, the status page and
// their printed form, which other versions and operators' scripts read.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	recorded.RoundTrip(f, "record", recorded.Encoder[Record](json.Marshal), DecodeRecord)
	r := recorded.New[Record]()
	f.Check("shown-record", []byte(r.Format()))

	var page []byte
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.Check("paths", []byte(r.URL.Path+" "+TextKey+" "+DaemonPrefix))
		_, _ = w.Write(page)
	}))
	defer srv.Close()
	recorded.RoundTrip(f, "status", recorded.Encoder[*Status](json.Marshal), func(b []byte) (*Status, error) {
		page = b
		return GetStatus(t.Context(), srv.Client(), netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")))
	})
	var b strings.Builder
	if err := WriteStatus(&b, []*Status{recorded.New[*Status]()}); err != nil {
		t.Fatal(err)
	}
	f.Check("shown-status", []byte(b.String()))
}
