package admission

import (
	"time"

	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Stats are the counters and gauges of a Gate, by class.
type Stats struct {
	// Run counts admissions. A request that is requeued and admitted again is
	// counted again.
	Run    [text.Classes]uint64
	Waited [text.Classes]uint64
	// Spare counts the runs above the daemon's share of slots; Run includes
	// them. Requeued counts the admitted requests that were requeued because
	// the runners rejected them as busy.
	Spare, Requeued [text.Classes]uint64
	Cancelled       [text.Classes]uint64
	// Full, Late, Expired and Closed count rejections by reason.
	Full, Late, Expired, Closed [text.Classes]uint64
	// Demand is the number of slots that each class could use now.
	Demand [text.Classes]int
	Slots  int
}

// Stats returns a copy of the counters.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.Demand = g.Scheduler.Demand(time.Now())
	s.Slots = g.Scheduler.Slots
	return s
}

// count adds one decision to the counters.
func (s *Stats) count(c text.Class, d Decision) {
	switch d.Verdict {
	case Run:
		s.Run[c]++
		if d.Reason == Spare {
			s.Spare[c]++
		}
	case Wait:
		s.Waited[c]++
	case Cancel:
		s.Cancelled[c]++
	case Reject:
		s.countRejection(c, d.Reason)
	}
}

func (s *Stats) countRejection(c text.Class, r Reason) {
	switch r {
	case Full:
		s.Full[c]++
	case Late:
		s.Late[c]++
	case Expired:
		s.Expired[c]++
	default:
		s.Closed[c]++
	}
}
