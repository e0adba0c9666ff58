package main

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/operator"
	"gypsumtrestle.example/gypsumtrestle/internal/totals"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// readTimeout bounds the commands that do not write.
const readTimeout = 10 * time.Second

// access holds the flags by which the operators' commands find the system.
type access struct {
	Platform *url.URL         `help:"Base URL of the platform." placeholder:"URL"`
	Daemons  []netip.AddrPort `help:"Callers' addresses of daemons to ask besides the registered ones." placeholder:"IP:PORT"`
}

// store returns a client of the platform, or nil if the flag is not set.
func (a *access) store() *etcd.Client {
	if a.Platform == nil {
		return nil
	}
	return &etcd.Client{URL: a.Platform}
}

func (a *access) requirePlatform() error {
	if a.Platform == nil {
		return &usageError{"--platform (GYPSUMTRESTLE_PLATFORM)", "", "the base URL of the platform, such as http://10.0.0.1:2379"}
	}
	return nil
}

func (a *access) collector() *operator.StatusCollector {
	s := &operator.StatusCollector{Daemons: a.Daemons, HTTP: http.DefaultClient}
	if c := a.store(); c != nil {
		s.Store = c
	}
	return s
}

// workerHosts returns the number of the platform's worker hosts by zone.
func workerHosts(ctx context.Context, c *etcd.Client) (map[string]int, error) {
	hosts, err := c.Hosts(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	n := make(map[string]int)
	for i := range hosts {
		if hosts[i].Role == "worker" && hosts[i].State != etcd.Gone {
			n[hosts[i].Zone]++
		}
	}
	return n, nil
}

// printFindings prints findings as FILE:line:column: message. It returns other
// errors unchanged.
func printFindings(w io.Writer, file string, err error) error {
	var fs text.Findings
	if !stderrors.As(err, &fs) {
		return err
	}
	for _, f := range fs {
		_, _ = fmt.Fprintf(w, "%s:%v\n", file, f)
	}
	return reported{err}
}

type checkCmd struct {
	File     string         `arg:"" help:"The text."`
	Platform *url.URL       `help:"Base URL of the platform, to compare with the hosts there are." placeholder:"URL"`
	Hosts    map[string]int `help:"Worker hosts by zone, when the platform is not asked." placeholder:"ZONE=N"`
}

// Run checks a configuration text and prints its findings.
func (c *checkCmd) Run(ctx context.Context, w io.Writer) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read text")
	}
	base, body := operator.SplitVersion(src)
	t, err := text.Parse(body)
	if err != nil {
		return printFindings(w, c.File, shiftFindings(err, base))
	}
	hosts := c.Hosts
	if c.Platform != nil {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if hosts, err = workerHosts(ctx, &etcd.Client{URL: c.Platform}); err != nil {
			return err
		}
	}
	if hosts != nil {
		if fs := t.Fit(hosts); len(fs) > 0 {
			return printFindings(w, c.File, fs)
		}
	}
	_, err = fmt.Fprintf(w, "%s: %d services in %d zones, no findings\n", c.File, len(t.Services), len(t.Zones))
	return errors.Wrap(err, "print")
}

// shiftFindings moves findings down by one line if the file starts with a version
// line, as printed by show.
func shiftFindings(err error, base uint64) error {
	var fs text.Findings
	if base == 0 || !stderrors.As(err, &fs) {
		return err
	}
	for i := range fs {
		fs[i].Line++
	}
	return fs
}

type applyCmd struct {
	access
	File   string        `arg:"" help:"The text, as show printed it and you edited it."`
	Base   uint64        `help:"Version that the edit started from, when the text's first line does not name it."`
	Author string        `help:"Who applies; the user's name by default."`
	Wait   time.Duration `default:"60s" help:"How long to wait until the version is in force everywhere."`
}

// Run applies a configuration text and waits until every daemon reports it as
// active.
func (c *applyCmd) Run(ctx context.Context, w io.Writer) error {
	if err := c.requirePlatform(); err != nil {
		return err
	}
	if c.Wait <= 0 {
		return &usageError{"--wait", c.Wait.String(), "a positive duration"}
	}
	src, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read text")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	store, collector := c.store(), c.collector()
	base, body := operator.SplitVersion(src)
	edit := operator.Edit{Text: body, Author: c.author(), Base: max(base, c.Base), ActiveVersion: collector.Collect(ctx).ActiveVersion()}
	if edit.Hosts, err = workerHosts(ctx, store); err != nil {
		return err
	}
	r, err := operator.Apply(ctx, store, time.Now(), edit)
	if err != nil {
		return c.reportFailure(w, shiftFindings(err, base))
	}
	_, _ = fmt.Fprintf(w, "accepted: version %d\n", r.Version)
	return c.waitActive(ctx, w, collector, r.Version)
}

func (c *applyCmd) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// reportFailure prints why a configuration text was not applied.
func (c *applyCmd) reportFailure(w io.Writer, err error) error {
	var conflict *operator.ConflictError
	if stderrors.As(err, &conflict) {
		_, _ = fmt.Fprintf(w, "%v\nRun show, and make the edit again on version %d.\n", conflict, conflict.Current.Version)
		return reported{err}
	}
	var fs text.Findings
	if stderrors.As(err, &fs) {
		_, _ = fmt.Fprintln(w, "refused:")
		return printFindings(w, c.File, fs)
	}
	return err
}

func (c *applyCmd) waitActive(ctx context.Context, w io.Writer, s *operator.StatusCollector, version uint64) error {
	start := time.Now()
	outdated := s.WaitFor(ctx, version, func(outdated []string) {
		if len(outdated) > 0 {
			_, _ = fmt.Fprintf(w, "waiting for %s\n", strings.Join(outdated, ", "))
		}
	})
	if len(outdated) > 0 {
		return errors.Errorf("version %d is accepted, but not yet in force at %s", version, strings.Join(outdated, ", "))
	}
	_, err := fmt.Fprintf(w, "in force everywhere: version %d after %s\n", version, time.Since(start).Round(time.Millisecond))
	return errors.Wrap(err, "print")
}

type showCmd struct {
	access
}

// Run prints the newest configuration text that the platform or a daemon has.
func (c *showCmd) Run(ctx context.Context, w io.Writer) error {
	if len(c.Daemons) == 0 {
		if err := c.requirePlatform(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var newest operator.Record
	var failure error
	if c.Platform != nil {
		newest, _, failure = operator.ReadText(ctx, c.store())
	}
	for _, s := range c.collector().Collect(ctx).Statuses {
		if s.PlanVersion <= newest.Version {
			continue
		}
		if r, err := operator.GetText(ctx, http.DefaultClient, s.Daemon.CallerAddr); err == nil && r.Version > newest.Version {
			newest = r
		}
	}
	if newest.Version == 0 {
		if failure != nil {
			return failure
		}
		return errors.New("no text has been applied yet")
	}
	_, err := io.WriteString(w, newest.Format())
	return errors.Wrap(err, "print")
}

type statusCmd struct {
	access
}

// Run prints the statuses of the daemons.
func (c *statusCmd) Run(ctx context.Context, w io.Writer) error {
	if len(c.Daemons) == 0 {
		if err := c.requirePlatform(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s := c.collector().Collect(ctx)
	for _, d := range s.Unreachable {
		_, _ = fmt.Fprintf(w, "no answer from %s at %s\n", d.Name, d.CallerAddr)
	}
	if len(s.Statuses) == 0 {
		return errors.New("no daemon answered")
	}
	return operator.WriteStatus(w, s.Statuses)
}

type totalsCmd struct {
	access
	From totals.Day `help:"First day, such as 2026-12-04."`
	To   totals.Day `help:"Last day."`
}

// Run prints the totals of the selected days.
func (c *totalsCmd) Run(ctx context.Context, w io.Writer) error {
	if err := c.requirePlatform(); err != nil {
		return err
	}
	for name, d := range map[string]totals.Day{"--from": c.From, "--to": c.To} {
		if d != "" && !d.Valid() {
			return &usageError{name, string(d), "a day, such as 2026-12-04"}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := totals.Read(ctx, c.store(), c.From, c.To)
	if err != nil {
		return err
	}
	return totals.Write(w, rows)
}
