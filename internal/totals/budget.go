package totals

import "gypsumtrestle.example/gypsumtrestle/pkg/text"

// minLost is the number of requests below which a budget is not used up: with
// few requests a day, one lost request would stop all planned work.
const minLost = 10

// lost is the requests that were not served, unless their callers gave up.
func (c *Count) lost() int64 { return c.Refused + c.Unknown + c.Failed + c.Late }

// ExhaustedBudgets returns the services whose rows show fewer requests served than their
// availability budget asks for.
func ExhaustedBudgets(t *text.Text, rows []Row) map[string]bool {
	sums := make(map[string]*Count)
	for i := range rows {
		if sums[rows[i].Service] == nil {
			sums[rows[i].Service] = new(Count)
		}
		sums[rows[i].Service].add(&rows[i].Count)
	}
	spent := make(map[string]bool)
	for name, c := range sums {
		s := t.Service(name)
		if s == nil || c.lost() < minLost {
			continue
		}
		if allowed := (1 - s.Budget) * float64(c.Requests); float64(c.lost()) > allowed {
			spent[name] = true
		}
	}
	return spent
}
