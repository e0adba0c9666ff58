package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/sched"
)

// Print writes an explanation as lines of text.
func Print(w io.Writer, e *sched.Explanation) error {
	var b strings.Builder
	permits := ""
	if e.Permits {
		permits = ", with permits of the policy service"
	}
	fmt.Fprintf(&b, "configuration %d: service %s, priority %d, %d attempts%s\n", e.Version, e.Service, e.Priority, e.Attempts, permits)
	fmt.Fprintf(&b, "objective %s: %g times the chain of %s, plus %s\n", round(e.Objective), e.Stretch, round(e.Chain), round(e.Target))
	fmt.Fprintf(&b, "pool: %d runners, %d usable\n", e.Runners, e.Usable)
	for _, f := range e.Front {
		fmt.Fprintf(&b, "in front, %s: %d jobs, %d tasks, %.1f core-seconds\n", f.Class, f.Jobs, f.Tasks, f.Work)
	}
	for i := range e.Steps {
		printStep(&b, i, &e.Steps[i])
	}
	if e.MoreSteps > 0 {
		fmt.Fprintf(&b, "%d more steps\n", e.MoreSteps)
	}
	for _, line := range e.Further {
		fmt.Fprintln(&b, line)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "print")
}

func printStep(b *strings.Builder, i int, x *sched.StepExplanation) {
	source := "declared"
	if x.Learned {
		source = "learned"
	}
	fmt.Fprintf(b, "step %d: %d of %d tasks have room now, expected run time %s (%s)\n", i, x.Room, x.Tasks, round(x.Expected), source)
	if len(x.After) > 0 {
		fmt.Fprintf(b, "  starts after steps %s; as if they were complete:\n", strings.Trim(fmt.Sprint(x.After), "[]"))
	}
	why := strings.Join(x.Why, ", ")
	switch {
	case x.Runner != "" && x.Instead != "":
		fmt.Fprintf(b, "  first on %s instead of %s: %s\n", x.Runner, x.Instead, why)
	case x.Runner != "":
		fmt.Fprintf(b, "  first on %s: %s\n", x.Runner, why)
	case why != "":
		fmt.Fprintf(b, "  not started: %s\n", why)
	}
	for _, k := range slices.Sorted(maps.Keys(x.Obstacle)) {
		fmt.Fprintf(b, "  %s: %d runners\n", k, x.Obstacle[k])
	}
	for _, k := range slices.Sorted(maps.Keys(x.Unusable)) {
		fmt.Fprintf(b, "    unusable, %s: %d runners\n", k, x.Unusable[k])
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
