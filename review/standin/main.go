// Command standin plays one case of the review: it starts the daemons of a small
// deployment as processes and stands in for the platform, runners and clients.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases returns the rule's breaches, or an error if the case could not run.
var cases = map[string]func(w *world, trouble bool) ([]string, error){}

// limit is how long a case may take.
const limit = 115 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of record.txt")
	bin := flag.String("bin", "target/gypsumtrestle", "program under test")
	flag.Parse()
	code, err := play(*name, *dir, *bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func play(name, dir, bin string) (int, error) {
	f := cases[name]
	if f == nil {
		return 2, fmt.Errorf("no case %q", name)
	}
	bin, err := filepath.Abs(bin)
	if err != nil {
		return 2, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(tmp) }()
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return 2, err
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", "name", name, "trouble", trouble)
	w := newWorld(rec, bin, tmp)
	defer w.stop()
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		b, err := f(w, trouble)
		done <- result{b, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = errors.New("it took too long")
	case s := <-interrupted:
		r.err = fmt.Errorf("stopped by %v", s)
	}
	if r.err != nil {
		rec.add("the case could not run", "err", r.err.Error())
		return 2, r.err
	}
	for _, b := range r.breaches {
		rec.add("BROKEN", "rule", b)
		fmt.Println("BROKEN", b)
	}
	if len(r.breaches) > 0 {
		return 1, nil
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0, nil
}
