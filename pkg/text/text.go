package text

import "time"

// Weigh is the measure that the operators prefer to optimise.
type Weigh string

// Values of Weigh.
const (
	// Rollout prefers short rollouts, and a large share of capacity for the other
	// requests during an overload.
	Rollout Weigh = "rollout"
	// Buffer prefers few host-minutes of spare capacity and few host moves.
	Buffer Weigh = "buffer"
)

// Text is a valid configuration text.
type Text struct {
	Zones []string
	Weigh Weigh
	// Clock is the time zone in which days of the totals are counted.
	Clock       *time.Location
	Maintenance Maintenance
	// Services are in the order of the file.
	Services []Service

	// index is the index of each service in Services, by name. It is nil in a
	// Text that was not parsed.
	index map[string]int
}

// Maintenance holds the limits of the maintenance waves.
type Maintenance struct {
	// Every is the period within which each host is maintained once.
	Every time.Duration
	// Hold is the maximum number of hosts per zone that are out of service for
	// maintenance.
	Hold int
}

// Service is one service and its pool.
type Service struct {
	Name string
	// Needs holds the names of the services that this one calls.
	Needs []string
	// Runners is the desired number of runners by zone.
	Runners map[string]int
	// Floor and Ceiling are the limits of the pool's runners over all zones,
	// including the replacement hosts during maintenance. A Ceiling of zero means
	// no limit.
	Floor, Ceiling int
	// Slots is the number of requests that one runner processes concurrently.
	Slots int
	// Budget is the minimum share of requests that must be served. It is
	// inherited from dependents where theirs is stricter.
	Budget float64
	// Share holds the weights of the urgency classes under contention.
	Share [Classes]int
	// Limit is the maximum run time of a request.
	Limit time.Duration
	// Spare is set for the pool from which other pools take hosts.
	Spare bool
	// Cores and Memory are the declared size of a runner; Memory is in GB.
	Cores, Memory int
}

// Total returns the desired number of runners over all zones.
func (s *Service) Total() int {
	n := 0
	for _, r := range s.Runners {
		n += r
	}
	return n
}

// Service returns the service with the given name, or nil.
func (t *Text) Service(name string) *Service {
	if t.index != nil {
		if i, ok := t.index[name]; ok {
			return &t.Services[i]
		}
		return nil
	}
	for i := range t.Services {
		if t.Services[i].Name == name {
			return &t.Services[i]
		}
	}
	return nil
}
