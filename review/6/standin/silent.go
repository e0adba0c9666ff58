package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// proxy forwards connections to an address. Its open connections can go silent:
// nothing is forwarded on them any more, and they are not closed.
type proxy struct {
	to   string
	addr string

	mu    sync.Mutex
	conns map[*proxied]bool
}

type proxied struct {
	mu     sync.Mutex
	silent bool
}

func (w *world) newProxy(to string) *proxy {
	l, err := net.Listen("tcp", w.ip(1)+":0")
	if err != nil {
		w.broken("listen: %v", err)
	}
	p := &proxy{to: to, addr: l.Addr().String(), conns: map[*proxied]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p
}

func (p *proxy) forward(c net.Conn) {
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		c.Close()
		return
	}
	x := &proxied{}
	p.mu.Lock()
	p.conns[x] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	pump := func(to, from net.Conn) {
		defer wg.Done()
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			x.mu.Lock()
			silent := x.silent
			x.mu.Unlock()
			if silent && err == nil {
				continue
			}
			if !silent && n > 0 {
				if _, werr := to.Write(b[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				if !silent {
					to.Close()
				}
				return
			}
		}
	}
	wg.Add(2)
	go pump(s, c)
	go pump(c, s)
	wg.Wait()
	c.Close()
	s.Close()
	p.mu.Lock()
	delete(p.conns, x)
	p.mu.Unlock()
}

// silence lets all open connections go silent and returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.conns {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
	}
	return len(p.conns)
}

// silent: all open connections to the store go silent at one moment, and new ones
// work. Once the machines are in touch again, a configuration must come into force in
// time, and tasks that last must not lapse.
func (w *world) silent() {
	const (
		contact = 3 * time.Second // contact-ms
		apply   = 2 * time.Second // config-apply-ms
		tasks   = 4
		mayMiss = 1
		lasting = "00000000000000ff"
	)
	p := w.newProxy(w.storeAddr)
	w.storeAddr = p.addr
	// Configuration 2 adds the route fall-note and drops youth-card.
	const added, dropped = "fall-note", "youth-card"
	kept := []route{{"grade-recount", "ascent", 2}, {"send-log", "ascent", 4}}
	old, changed := append(kept[:2:2], route{dropped, "ascent", 4}), append(kept[:2:2], route{added, "ascent", 4})
	w.configure(1, old, []string{"ascent"})
	for i := range 9 {
		w.addMachine(fmt.Sprintf("m-%d", i), "ascent", fmt.Sprintf("r-%d", i/4))
	}
	w.startDaemons(3)
	w.submit("grade-recount", lasting, []map[string]any{{
		"count": tasks, "cpu": 1300, "mem-mb": 4300, "estimate-ms": 500, "long-running": true, "max-per-server": 1, "may-miss": mayMiss,
	}}, []*kind{{cpu: 1300, mem: 4300, lasts: true}})
	if !waitFor(10*time.Second, func() bool { return w.lasting(lasting, tasks) == tasks }) {
		w.broken("the lasting job does not run")
	}
	// Some seconds of traffic, during which clients hand in jobs at each daemon and
	// cancel one in four.
	var wg sync.WaitGroup
	n := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for i := range 30 {
			d := w.daemons[n%len(w.daemons)]
			id := w.newJob(&n)
			wg.Go(func() {
				w.hand(d, "send-log", id)
				if i%4 != 0 {
					return
				}
				status, _, err := w.call(d, "DELETE", "/send-log/"+id, nil)
				w.logf("client cancels send-log/%s at %s: %d %v", id, d.name, status, err)
			})
		}
	}
	wg.Wait()
	at := time.Now()
	if w.trouble {
		w.logf("%d open connections to the store go silent", p.silence())
	}
	time.Sleep(time.Second)
	w.configure(2, changed, []string{"ascent"})
	acked := time.Now()
	w.logf("operator: configuration 2 adds the route %s and drops %s", added, dropped)
	time.Sleep(max(time.Until(at.Add(contact)), time.Until(acked.Add(apply))) + 20*time.Millisecond)
	var broken []string
	var late []string // jobs of the dropped route
	for end := at.Add(12 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, d := range w.daemons {
			sent := time.Now()
			since := fmt.Sprintf("%.2f s after the acknowledgement of the configuration and %.2f s after the connections went silent", sent.Sub(acked).Seconds(), sent.Sub(at).Seconds())
			if w.hand(d, added, w.newJob(&n)) == 404 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s refuses a job of the route %s, which is there, with 404, %s", d.name, added, since))
			}
			id := w.newJob(&n)
			if w.hand(d, dropped, id) == 200 {
				broken = append(broken, fmt.Sprintf("CONFIG: %s accepts job %s of the dropped route %s, %s", d.name, id, dropped, since))
				late = append(late, id)
			}
		}
	}
	for _, e := range w.allEvents() {
		for _, id := range late {
			if strings.HasPrefix(e.task, id) && e.what == "start" {
				broken = append(broken, fmt.Sprintf("CONFIG: runner %s runs %s of the dropped route", e.runner, e.task))
			}
		}
	}
	lapsed := 0
	for _, e := range w.allEvents() {
		if strings.HasPrefix(e.task, lasting) && e.what == "lapsed" && e.at.After(at.Add(contact)) {
			lapsed++
			if lapsed > mayMiss {
				broken = append(broken, fmt.Sprintf("AVAIL: the lease of %s lapses on %s, %.2f s after the connections went silent, with %d others away", e.task, e.runner, e.at.Sub(at).Seconds(), lapsed-1))
			}
		}
	}
	w.keepLogs()
	w.verdict(broken)
}

// newJob returns the ID of the next job, of one task.
func (w *world) newJob(n *int) string {
	*n++
	id := fmt.Sprintf("%016x", 0xa000+*n)
	w.mu.Lock()
	w.kinds[id+".0"] = &kind{cpu: 880, mem: 1300, takes: 300 * time.Millisecond}
	w.mu.Unlock()
	return id
}

// hand hands in a job once and returns the status of the response, or 0.
func (w *world) hand(d *daemon, queue, id string) int {
	status, _, err := w.call(d, "POST", "/"+queue+"/"+id, map[string]any{
		"spec": "job " + id, "steps": []map[string]any{{"count": 1, "cpu": 880, "mem-mb": 1300, "estimate-ms": 300}},
	})
	w.logf("client hands in %s/%s at %s: %d %v", queue, id, d.name, status, err)
	return status
}
