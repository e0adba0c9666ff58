package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// limit is how long a case may run.
const limit = 118 * time.Second

func main() {
	runtime.LockOSThread() // daemons end with the thread that started them
	cases := map[string]func(*world){
		"overlap": (*world).overlap, "apart": (*world).apart, "rollback": (*world).rollback, "silent": (*world).silent, "odd": (*world).odd,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD-FILE")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		w.broken("stopped after %v", time.Since(w.start))
	}()
	cases[os.Args[1]](w)
}
