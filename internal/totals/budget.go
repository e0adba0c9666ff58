package totals

import "gypsumtrestle.example/gypsumtrestle/pkg/text"

// minUnserved is the number of unserved requests below which a budget is not
// exhausted: with few requests per day, a single one would stop all planned work.
const minUnserved = 10

// unserved returns the number of requests that were not served, without those
// that their callers cancelled.
func (c *Count) unserved() int64 { return c.Refused + c.Unknown + c.Failed + c.Late }

// ExhaustedBudgets returns the services whose share of unserved requests exceeds
// what their availability budget allows.
func ExhaustedBudgets(t *text.Text, rows []Row) map[string]bool {
	sums := make(map[string]*Count)
	for i := range rows {
		if sums[rows[i].Service] == nil {
			sums[rows[i].Service] = new(Count)
		}
		sums[rows[i].Service].add(&rows[i].Count)
	}
	exhausted := make(map[string]bool)
	for name, c := range sums {
		s := t.Service(name)
		if s == nil || c.unserved() < minUnserved {
			continue
		}
		if allowed := (1 - s.Budget) * float64(c.Requests); float64(c.unserved()) > allowed {
			exhausted[name] = true
		}
	}
	return exhausted
}
