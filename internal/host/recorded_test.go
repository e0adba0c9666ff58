package host

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"gypsumtrestle.example/gypsumtrestle/internal/metric"
	"gypsumtrestle.example/gypsumtrestle/internal/recorded"
	"gypsumtrestle.example/gypsumtrestle/internal/workspace"
	"gypsumtrestle.example/gypsumtrestle/platform"
)

// TestRecorded guards against renamed metrics, which operators' dashboards would
// not find.
func TestRecorded(t *testing.T) {
	d := New(recorded.New[*platform.Settings](), Options{DirectLimit: 1, Admission: AdmissionOn}, log.NewNopLogger())
	d.metrics.AddRequest("state", 200, 30*time.Millisecond)
	w := httptest.NewRecorder()
	d.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	f := recorded.Open(t, "recorded.txt")
	f.Check("metrics", w.Body.Bytes())
	d.metrics.AddKeyRejection(workspace.UnknownKey)
	w = httptest.NewRecorder()
	d.metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var lines []byte // of the counter; the others are checked above
	for line := range strings.Lines(w.Body.String()) {
		if strings.Contains(line, "_key_rejections_") {
			lines = append(lines, line...)
		}
	}
	f.Check("key-rejections", lines)
	rejections := metric.New()
	rejections.AddRejection("q", "backlog")
	w = httptest.NewRecorder()
	rejections.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	f.Check("rejections", w.Body.Bytes())
}
