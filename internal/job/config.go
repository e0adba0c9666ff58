package job

import (
	"net"
	"strings"
	"time"
)

// Policy describes the policy service of a queue.
type Policy struct {
	BaseLatency   time.Duration // base latency of a reply
	RunnerLatency time.Duration // added for each runner in the query
	PermitTTL     time.Duration // how long a permit is valid
}

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string        // pool of runners that runs its jobs
	Priority    int           // 0 is the highest
	MaxAttempts int           // as in Terms
	Stretch     float64       // as in Terms
	Target      time.Duration // as in Terms
	Timeout     time.Duration
	Policy      *Policy
	Public      bool // callers need no key of a workspace
}

// Service is a pool of runners.
type Service struct {
	Name             string
	EnforcesCapacity bool // its runners reject tasks that do not fit
	Standby          bool // its hosts are powered off
	HealthPath       string
}

// Limits are the limits on callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Queues   map[string]*Queue
	Services map[string]*Service
	// Workspaces is empty if the deployment has none; no request needs a key then.
	Workspaces map[string]*Workspace
	Limits     Limits
	byHost     map[string][]*Queue
	byKey      map[string]*Workspace
}

// NewConfig returns a configuration, with the queues indexed by host and the workspaces
// by key.
func NewConfig(version int64, queues []*Queue, services []*Service, l Limits, workspaces ...*Workspace) *Config {
	c := &Config{
		Version: version, Limits: l,
		Queues:     make(map[string]*Queue, len(queues)),
		Services:   make(map[string]*Service, len(services)),
		Workspaces: make(map[string]*Workspace, len(workspaces)),
		byHost:     make(map[string][]*Queue),
		byKey:      make(map[string]*Workspace),
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
		h := strings.ToLower(q.Host)
		c.byHost[h] = append(c.byHost[h], q)
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, w := range workspaces {
		c.Workspaces[w.Name] = w
		for _, k := range w.Keys {
			c.byKey[k] = w
		}
	}
	return c
}

// Find returns the queue with the longest prefix of path on host, or nil.
func (c *Config) Find(host, path string) *Queue {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	var best *Queue
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
