package text

import (
	"bytes"
	stderrors "errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// MaxSize is the maximum size of the text in bytes. The key-value store accepts
// values of up to 1 MB (1<<20 bytes); the difference is left for the other fields
// of the record that contains the text.
const MaxSize = 1_000_000

// file is the decoded TOML document, before checks and defaults.
type file struct {
	Zones       []string        `toml:"zones"`
	Weigh       string          `toml:"weigh"`
	Clock       string          `toml:"clock"`
	Maintenance fileMaintenance `toml:"maintenance"`
	Service     []fileService   `toml:"service"`
}

type fileMaintenance struct {
	Every string `toml:"every"`
	Hold  *int   `toml:"hold"`
}

type fileService struct {
	Name    string         `toml:"name"`
	Needs   []string       `toml:"needs"`
	Runners any            `toml:"runners"`
	Floor   *int           `toml:"floor"`
	Ceiling *int           `toml:"ceiling"`
	Slots   *int           `toml:"slots"`
	Budget  *float64       `toml:"budget"`
	Share   map[string]int `toml:"share"`
	Limit   string         `toml:"limit"`
	Spare   bool           `toml:"spare"`
	Cores   *int           `toml:"cores"`
	Memory  *int           `toml:"memory"`
}

// Parse reads and checks a configuration text. The error is Findings.
func Parse(src []byte) (*Text, error) {
	if len(src) > MaxSize {
		return nil, Findings{{Line: 1, Column: 1, Message: fmt.Sprintf("text has %d bytes, expected at most %d", len(src), MaxSize)}}
	}
	var f file
	d := toml.NewDecoder(bytes.NewReader(src)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, decodeFindings(err)
	}
	c := checker{pos: index(src)}
	t := c.buildText(&f)
	if len(c.findings) > 0 {
		return nil, c.findings
	}
	inherit(t, c.order)
	return t, nil
}

// decodeFindings converts an error of the TOML library to findings.
func decodeFindings(err error) Findings {
	var strict *toml.StrictMissingError
	if stderrors.As(err, &strict) {
		fs := make(Findings, len(strict.Errors))
		for i := range strict.Errors {
			e := &strict.Errors[i]
			line, column := e.Position()
			fs[i] = Finding{line, column, strings.Join(e.Key(), "."), "unknown field, expected one of " + allowedFields(e.Key())}
		}
		return fs
	}
	var e *toml.DecodeError
	if stderrors.As(err, &e) {
		line, column := e.Position()
		return Findings{{line, column, strings.Join(e.Key(), "."), strings.TrimPrefix(e.Error(), "toml: ")}}
	}
	return Findings{{Line: 1, Column: 1, Message: err.Error()}}
}

// allowedFields lists the fields that are allowed in place of an unknown one.
func allowedFields(key toml.Key) string {
	if len(key) > 1 {
		switch key[0] {
		case "maintenance":
			return "every, hold"
		case "service":
			return "name, needs, runners, floor, ceiling, slots, budget, share, limit, spare, cores, memory"
		}
	}
	return "zones, weigh, clock, maintenance, service"
}

// parseDuration parses a duration and reports whether it is valid and positive.
func parseDuration(s string) (time.Duration, bool) {
	d, err := time.ParseDuration(s)
	return d, err == nil && d > 0
}
