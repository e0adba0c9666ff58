package machine

import "time"

// Wave is an operators' request that each of some machines has its upkeep.
type Wave struct {
	Number         int
	Machines       []ID
	MaxUnavailable int           // most machines down at once
	Within         time.Duration // from the request
}
