package machine

import "time"

// Wave is an operators' request for the maintenance of a set of machines.
type Wave struct {
	Number         int
	Machines       []ID
	MaxUnavailable int           // maximum number of machines down at once
	Within         time.Duration // time from the request to completion
}
