// Package modeltest runs models of package rapid that must fail, because one of
// their safeguards is left out. Only tests import it.
package modeltest

import (
	"flag"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// recorder records whether a property failed, without failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

func (r *recorder) Fatalf(string, ...any) { r.FailNow() }

// settings are the flags of a run: a failure is neither shrunk nor kept.
var settings = map[string]string{
	"rapid.shrinktime": "0s", "rapid.nofailfile": "true", "rapid.checks": "20000", "rapid.steps": "100",
}

// MustFail runs each model as a subtest, which fails if 20,000 runs of 100 steps
// pass. The models are named for the safeguard that they leave out.
func MustFail(t *testing.T, models map[string]func(*rapid.T)) {
	t.Helper()
	for name, value := range settings {
		f := flag.Lookup(name)
		old := f.Value.String()
		if err := f.Value.Set(value); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := f.Value.Set(old); err != nil {
				t.Error(err)
			}
		}()
	}
	for safeguard, model := range models {
		t.Run(safeguard, func(t *testing.T) {
			r := &recorder{TB: t}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				rapid.Check(r, model)
			}()
			<-ended
			if !r.failed {
				t.Errorf("model passes without the safeguard %q", safeguard)
			}
		})
	}
}
