package wave

import (
	"fmt"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

const (
	headroom = 1.2 // usage is a sample and lags behind peaks

	badWorker = 3 // failures before a host is set aside
	badJob    = 3 // hosts on which a service must fail before it is blamed

	retryJob    = 10 * time.Minute // between starts of a service that fails everywhere
	retryWorker = time.Hour        // before a host that was set aside is rebooted
	retryAgain  = 24 * time.Hour   // the same, after a reboot that did not help
)

// sizes replaces the declared size of each service by its largest reported
// usage. Reports from before the runner served are about an earlier one.
func (p *planner) sizes() {
	type use struct{ cores, memory float64 }
	seen := make(map[int]use)
	for i := range p.Usage {
		u := &p.Usage[i]
		h := p.own.Host(u.Host)
		if h == nil || h.State != fleet.Serving || u.At.Before(h.Since) {
			continue
		}
		if j, ok := p.index[h.Pool]; ok {
			s := seen[j]
			seen[j] = use{max(s.cores, u.Cores), max(s.memory, u.Memory)}
		}
	}
	for j, s := range seen {
		p.pools[j].cores, p.pools[j].memory = s.cores*headroom, s.memory*headroom
	}
}

func (q *pool) fits(h *etcd.Host) bool {
	return h != nil && h.State == etcd.Live && q.cores <= float64(h.Cores) && q.memory <= float64(h.Memory)
}

// blamed reports whether failed starts are the service's own fault: it fails
// on several hosts, and on more than it serves on.
func (q *pool) blamed() bool { return q.failing >= badJob && q.failing > q.total }

// bad reports whether a host's failures are its own fault.
func (p *planner) bad(h *fleet.Host) bool {
	if h.Failures < badWorker {
		return false
	}
	for _, name := range h.FailedPools {
		if q := p.pool(name); q != nil && !q.blamed() {
			return true
		}
	}
	return false
}

// setAside quarantines bad workers and reboots those set aside long ago.
func (p *planner) setAside() {
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		switch {
		case h.State == fleet.Free && p.bad(h):
			p.state[i] = fleet.Failed
			p.act(Action{Kind: Quarantine, Host: h.Name, Reason: fmt.Sprintf("%d failures of %v", h.Failures, h.FailedPools)})
		case h.State == fleet.Starting && p.bad(h):
			p.drain(i, p.spareName(), fmt.Sprintf("%d failures of %v", h.Failures, h.FailedPools))
		case h.State == fleet.Failed && p.Now.Sub(h.Since) >= retryAfter(h) && p.ready(i):
			p.toMaintenance(i, "reboot of a host that was set aside")
		}
	}
}

func retryAfter(h *fleet.Host) time.Duration {
	if h.Since.Sub(h.Maintained) < retryWorker {
		return retryAgain
	}
	return retryWorker
}

// reportOverdue adds the first host of each pool whose maintenance is overdue and
// must wait.
func (p *planner) reportOverdue() {
	seen := make(map[string]bool)
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		if p.state[i] != fleet.Serving || !p.overdue(h) || seen[h.Pool] {
			continue
		}
		if r := p.mayDrain(i); r != "" {
			seen[h.Pool] = true
			p.finding("overdue/"+h.Pool, fmt.Sprintf("maintenance of %s is overdue: %s", h.Name, r))
		}
	}
}

// report adds the findings that have not been reported before.
func (p *planner) report() {
	for i := range p.pools {
		q := &p.pools[i]
		if !q.share.Zone && len(p.Text.Zones) > 1 {
			p.finding("zone-loss/"+q.Name, fmt.Sprintf("%d wanted runners cannot keep floor %d under the loss of a zone", q.Total(), q.Floor))
		}
		if len(p.racks) > 0 && !q.rackFeasible() {
			p.finding("rack-loss/"+q.Name, fmt.Sprintf("%d wanted runners on %d racks cannot keep %d under the loss of a rack", q.want, len(p.racks), q.share.Rack))
		}
		if q.blamed() {
			p.finding("failing/"+q.Name, fmt.Sprintf("fails on %d hosts and serves on %d", q.failing, q.total))
		}
		if q.want > 0 && q.serving == 0 && !p.fitsAny(q) {
			p.finding("unfit/"+q.Name, fmt.Sprintf("no live host of the zone has %.0f cores and %.0f GB", q.cores, q.memory))
		}
	}
}

func (p *planner) fitsAny(q *pool) bool {
	for _, h := range p.hosts {
		if q.fits(h) {
			return true
		}
	}
	return len(p.hosts) == 0 // an empty list says nothing about sizes
}

func (p *planner) finding(subject, reason string) {
	if _, ok := p.Reported[subject]; !ok {
		p.act(Action{Kind: Report, Subject: subject, Reason: reason})
	}
}
