package faults

import "time"

// Duration is a time.Duration that is encoded like "250ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}

// Faults are the active faults. PUT /faults replaces them all.
type Faults struct {
	// Path limits Delay, Refuse, Freeze and LoseResponses to paths with this
	// prefix.
	Path string `json:"path,omitempty"`
	// Delay is how long a call waits before it takes effect.
	Delay Duration `json:"delay,omitempty"`
	// Refuse rejects calls with status 429; they take no effect.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze blocks calls and watches. A blocked call takes effect when Freeze
	// ends, even if its caller has disconnected.
	Freeze bool `json:"freeze,omitempty"`
	// LoseResponses is the number of writes that take effect but get no response.
	LoseResponses int `json:"lose,omitempty"`
	// CutZones lists the zones, by the header Zone, whose calls and watches are
	// disconnected.
	CutZones []string `json:"cut,omitempty"`
	// Revision is the store revision at which reads are served; zero means the
	// current one.
	Revision int64 `json:"revision,omitempty"`
	// Lag is the age of the host list and the usage that reads return.
	Lag Duration `json:"lag,omitempty"`
}

// Counts are the numbers of calls since the start, by kind, and of calls that
// were affected by a fault, by fault.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Delayed int64 `json:"delayed"`
	Refused int64 `json:"refused"`
	Frozen  int64 `json:"frozen"`
	Lost    int64 `json:"lost"`
	Cut     int64 `json:"cut"`
	Old     int64 `json:"old"`
}

// Status is the response to GET /faults.
type Status struct {
	Faults Faults `json:"faults"`
	Counts Counts `json:"counts"`
}
