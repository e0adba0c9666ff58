package wave

import (
	"fmt"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
	"gypsumtrestle.example/gypsumtrestle/internal/fleet"
)

const (
	headroom = 1.2 // factor on reported usage, which is a sample and lags behind peaks

	quarantineFailures = 3 // failures before a host is quarantined
	faultyServiceHosts = 3 // hosts on which a service must fail to be treated as faulty

	serviceRetryDelay = 10 * time.Minute // between starts of a service that fails everywhere
	rebootDelay       = time.Hour        // before a quarantined host is rebooted
	repeatRebootDelay = 24 * time.Hour   // the same, after a reboot that did not help
)

// estimateSizes replaces the declared size of each service by its largest
// reported usage plus headroom. Reports from before the runner served are
// ignored: they are about an earlier runner.
func (p *planner) estimateSizes() {
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

// faulty reports whether failed starts are caused by the service itself: it
// fails on several hosts, and on more than it serves on.
func (q *pool) faulty() bool { return q.failing >= faultyServiceHosts && q.failing > q.total }

// hostFaulty reports whether a host's failures are caused by the host itself.
func (p *planner) hostFaulty(h *fleet.Host) bool {
	if h.Failures < quarantineFailures {
		return false
	}
	for _, name := range h.FailedPools {
		if q := p.pool(name); q != nil && !q.faulty() {
			return true
		}
	}
	return false
}

// quarantine quarantines faulty hosts, and sends hosts to maintenance for a
// reboot when they have been quarantined for long enough.
func (p *planner) quarantine() {
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		switch {
		case h.State == fleet.Free && p.hostFaulty(h):
			p.state[i] = fleet.Failed
			p.addAction(Action{Kind: Quarantine, Host: h.Name, Reason: fmt.Sprintf("%d failures of %v", h.Failures, h.FailedPools)})
		case h.State == fleet.Starting && p.hostFaulty(h):
			p.drain(i, p.spareName(), fmt.Sprintf("%d failures of %v", h.Failures, h.FailedPools))
		case h.State == fleet.Failed && p.Now.Sub(h.Since) >= rebootDelayOf(h) && p.mayMaintain(i):
			p.toMaintenance(i, "reboot of a host that was set aside")
		}
	}
}

func rebootDelayOf(h *fleet.Host) time.Duration {
	if h.Since.Sub(h.Maintained) < rebootDelay {
		return repeatRebootDelay
	}
	return rebootDelay
}

// reportOverdue reports, for each pool, the first host whose maintenance is
// overdue but must wait.
func (p *planner) reportOverdue() {
	seen := make(map[string]bool)
	for i := range p.own.Hosts {
		h := &p.own.Hosts[i]
		if p.state[i] != fleet.Serving || !p.overdue(h) || seen[h.Pool] {
			continue
		}
		if r := p.drainBlockedBy(i); r != "" {
			seen[h.Pool] = true
			p.addFinding("overdue/"+h.Pool, fmt.Sprintf("maintenance of %s is overdue: %s", h.Name, r))
		}
	}
}

// reportFindings reports the findings that have not been reported before.
func (p *planner) reportFindings() {
	for i := range p.pools {
		q := &p.pools[i]
		if !q.share.SurvivesZoneLoss && len(p.Text.Zones) > 1 {
			p.addFinding("zone-loss/"+q.Name, fmt.Sprintf("%d wanted runners cannot keep floor %d under the loss of a zone", q.Total(), q.Floor))
		}
		if len(p.racks) > 0 && !q.rackFeasible() {
			p.addFinding("rack-loss/"+q.Name, fmt.Sprintf("%d wanted runners on %d racks cannot keep %d under the loss of a rack", q.wanted, len(p.racks), q.share.AfterRackLoss))
		}
		if q.faulty() {
			p.addFinding("failing/"+q.Name, fmt.Sprintf("fails on %d hosts and serves on %d", q.failing, q.total))
		}
		if q.wanted > 0 && q.serving == 0 && !p.fitsAny(q) {
			p.addFinding("unfit/"+q.Name, fmt.Sprintf("no live host of the zone has %.0f cores and %.0f GB", q.cores, q.memory))
		}
	}
}

func (p *planner) fitsAny(q *pool) bool {
	for _, h := range p.hosts {
		if q.fits(h) {
			return true
		}
	}
	return len(p.hosts) == 0 // the sizes of hosts are unknown if the list is empty
}

func (p *planner) addFinding(subject, reason string) {
	if _, ok := p.Reported[subject]; !ok {
		p.addAction(Action{Kind: Report, Subject: subject, Reason: reason})
	}
}
