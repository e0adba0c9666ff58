package caller

import (
	"bytes"
	"expvar"
	"net/http/httptest"
	"strings"
	"testing"

	"gypsumtrestle.example/gypsumtrestle/internal/backend"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
)

// TestRecorded guards against changes that break clients: problem responses
// that callers can no longer read, and renamed variables of /debug/vars.
func TestRecorded(t *testing.T) {
	f := recorded.Open(t, "recorded.txt")
	for o := backend.NotRun; o <= backend.Unknown; o++ {
		w := httptest.NewRecorder()
		writeProblem(w, 503, o, "id-1", "why")
		var b bytes.Buffer
		if err := w.Result().Write(&b); err != nil {
			t.Fatal(err)
		}
		f.Check("problem-"+o.String(), append(bytes.ReplaceAll(b.Bytes(), []byte("\r"), nil), '\n'))
	}
	var vars []string
	expvar.Do(func(v expvar.KeyValue) { vars = append(vars, v.Key) })
	f.Check("debug-vars", []byte(strings.Join(vars, " ")))
	f.Check("headers", []byte(strings.Join([]string{headerDeadline, headerID, headerKey, headerPriority}, " ")))
}
