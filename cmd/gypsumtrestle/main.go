// Command gypsumtrestle runs the entry daemon of a fleet, and provides the
// operators' commands.
package main

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// version is set by the release build.
var version = "development"

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Run an entry daemon."`
	Entry   entryCmd   `cmd:"" help:"Run an entry daemon on the users' platform."`
	Check   checkCmd   `cmd:"" help:"Check an operators' text."`
	Apply   applyCmd   `cmd:"" help:"Put an operators' text in force and wait until it is."`
	Show    showCmd    `cmd:"" help:"Print the operators' text with its version."`
	Status  statusCmd  `cmd:"" help:"Print daemons, pools and drains."`
	Explain explainCmd `cmd:"" help:"Print where a job would go now, and why, without submitting it."`
	Replay  replayCmd  `cmd:"" help:"Check recorded traces."`
	Totals  totalsCmd  `cmd:"" help:"Print daily totals as tab-separated values."`
	Demo    demoCmd    `cmd:"" help:"Run a whole system in one process on loopback."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// reported is an error whose text has already been printed.
type reported struct{ error }

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs the command and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	exited := false
	parser := kong.Must(&c,
		kong.Name("gypsumtrestle"),
		kong.Description("Fleet capacity and maintenance manager."),
		kong.DefaultEnvars("GYPSUMTRESTLE"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.BindTo(stdout, (*io.Writer)(nil)),
		kong.Vars{"version": version},
	)
	k, err := parser.Parse(args)
	if exited {
		return exitOK
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "gypsumtrestle: %v\nSee gypsumtrestle --help.\n", err)
		return exitUsage
	}
	err = k.Run()
	var usage *usageError
	var printed reported
	switch {
	case err == nil:
		return exitOK
	case stderrors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "gypsumtrestle: %v\n", err)
		return exitUsage
	case stderrors.As(err, &printed):
		return exitFailure
	default:
		_, _ = fmt.Fprintf(stderr, "gypsumtrestle: %v\n", err)
		return exitFailure
	}
}

// usageError is an invalid value of a flag or setting.
type usageError struct {
	name, value, allowed string
}

func (e *usageError) Error() string {
	return fmt.Sprintf("%s: %q, expected %s", e.name, e.value, e.allowed)
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run(w io.Writer) error {
	_, err := fmt.Fprintln(w, "gypsumtrestle", version)
	return errors.Wrap(err, "print")
}
