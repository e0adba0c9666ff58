package totals

import (
	"sync/atomic"
	"time"
)

// Count holds the counts of one service and day.
type Count struct {
	// Requests counts the requests accepted from callers.
	Requests int64 `json:"requests"`
	// Served counts the requests whose complete response was sent in time.
	Served int64 `json:"served"`
	// Refused counts the requests that were rejected as not-run.
	Refused int64 `json:"refused"`
	// Unknown counts the requests with an unknown outcome.
	Unknown int64 `json:"unknown"`
	// Failed counts the responses of the service with status 500 or above.
	Failed int64 `json:"failed"`
	// Late counts the runs whose response was not received before the deadline.
	Late int64 `json:"late"`
	// Cancelled counts the requests that were cancelled by their callers.
	Cancelled int64 `json:"cancelled"`
	// Retried counts the second and later attempts.
	Retried int64 `json:"retried"`
	// Spilled counts the requests that ran in another zone.
	Spilled int64 `json:"spilled"`
	// Moves counts the hosts that started in the pool after they had run in
	// another pool.
	Moves int64 `json:"moves"`
	// Maintained counts the hosts of the pool that returned from maintenance.
	Maintained int64 `json:"maintained"`
	// Buffer counts the minutes in which hosts of the pool were not serving.
	Buffer int64 `json:"buffer"`
}

// columns lists the counts in the order of the table.
var columns = []struct {
	name  string
	field func(*Count) *int64
}{
	{"requests", func(c *Count) *int64 { return &c.Requests }},
	{"served", func(c *Count) *int64 { return &c.Served }},
	{"refused", func(c *Count) *int64 { return &c.Refused }},
	{"unknown", func(c *Count) *int64 { return &c.Unknown }},
	{"failed", func(c *Count) *int64 { return &c.Failed }},
	{"late", func(c *Count) *int64 { return &c.Late }},
	{"cancelled", func(c *Count) *int64 { return &c.Cancelled }},
	{"retried", func(c *Count) *int64 { return &c.Retried }},
	{"spilled", func(c *Count) *int64 { return &c.Spilled }},
	{"moves", func(c *Count) *int64 { return &c.Moves }},
	{"maintained", func(c *Count) *int64 { return &c.Maintained }},
	{"buffer", func(c *Count) *int64 { return &c.Buffer }},
}

// add adds the counts of d to c.
func (c *Count) add(d *Count) {
	for _, col := range columns {
		*col.field(c) += *col.field(d)
	}
}

// load returns a copy of the counts, which may be incremented concurrently.
func (c *Count) load() Count {
	var out Count
	for _, col := range columns {
		*col.field(&out) = atomic.LoadInt64(col.field(c))
	}
	return out
}

// Day is a calendar day in the operators' time zone, such as 2026-12-04.
type Day string

// DayOf returns the day of t in a time zone; nil means UTC.
func DayOf(t time.Time, loc *time.Location) Day {
	if loc == nil {
		loc = time.UTC
	}
	return Day(t.In(loc).Format(time.DateOnly))
}

// Valid reports whether d is a date.
func (d Day) Valid() bool {
	_, err := time.Parse(time.DateOnly, string(d))
	return err == nil
}
