package text

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // entry hosts are small and may lack the database
)

// Defaults and limits of the optional fields.
const (
	defaultSlots  = 8
	defaultBudget = 0.999
	defaultLimit  = 30 * time.Second
	defaultEvery  = 14 * 24 * time.Hour
	defaultHold   = 2
	defaultCores  = 1
	defaultMemory = 1 // GB

	maxSlots  = 1024
	maxShare  = 1000
	maxLimit  = time.Hour
	maxCores  = 1024
	maxMemory = 65536 // GB
	minEvery  = time.Hour
)

var defaultShare = [Classes]int{Urgent: 50, Normal: 35, Background: 15}

// namePattern matches names that are safe in a URL path, a key and a table cell.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// reservedNames are the first segments of the paths that daemons serve themselves.
var reservedNames = []string{"live", "ready", "key", "text", "status", "debug"}

// checker converts a file to a Text and collects the findings.
type checker struct {
	pos      positions
	findings Findings
	// nextZone is the index of the zone that gets the next remainder when
	// runners are spread over the zones.
	nextZone int
	// order holds the services, each after its dependencies.
	order []*Service
}

// fail records a finding at the position of the field, or of its closest parent
// that has one.
func (c *checker) fail(field, format string, args ...any) {
	p, ok := c.pos[field]
	for parent := field; !ok && parent != ""; p, ok = c.pos[parent] {
		cut := strings.LastIndexAny(parent, ".[")
		if cut < 0 {
			p = position{1, 1}
			break
		}
		parent = parent[:cut]
	}
	c.findings = append(c.findings, Finding{max(p.line, 1), max(p.column, 1), field, fmt.Sprintf(format, args...)})
}

func (c *checker) buildText(f *file) *Text {
	t := &Text{Zones: f.Zones, Weigh: Weigh(f.Weigh)}
	c.zones(f.Zones)
	if t.Weigh != Rollout && t.Weigh != Buffer {
		c.fail("weigh", "%q, expected %q or %q", f.Weigh, Rollout, Buffer)
	}
	t.Clock = c.clock(f.Clock)
	t.Maintenance = c.maintenance(&f.Maintenance)
	if len(f.Service) == 0 {
		c.fail("service", "none listed, expected at least the spare pool")
	}
	for i := range f.Service {
		t.Services = append(t.Services, c.service(fmt.Sprintf("service[%d]", i), &f.Service[i], f.Zones))
	}
	c.names(t)
	c.needs(t)
	c.spare(t)
	return t
}

func (c *checker) zones(zones []string) {
	if len(zones) == 0 {
		c.fail("zones", "none listed, expected at least one zone")
	}
	for i, z := range zones {
		field := fmt.Sprintf("zones[%d]", i)
		if !namePattern.MatchString(z) {
			c.fail(field, "%q, expected lower-case letters, digits and hyphens", z)
		}
		if slices.Contains(zones[:i], z) {
			c.fail(field, "zone %q is listed twice", z)
		}
	}
}

// clock loads a time zone of the IANA database. Local is rejected, since it could
// differ between daemons.
func (c *checker) clock(s string) *time.Location {
	loc, err := time.LoadLocation(s)
	if err != nil || s == "Local" {
		c.fail("clock", "%q, expected a name of the IANA time zone database, such as \"America/Chicago\"", s)
		return time.UTC
	}
	return loc
}

func (c *checker) maintenance(f *fileMaintenance) Maintenance {
	m := Maintenance{Every: defaultEvery, Hold: c.bounded("maintenance.hold", f.Hold, defaultHold, 1, 1000)}
	if f.Every != "" {
		d, ok := parseDuration(f.Every)
		if !ok || d < minEvery {
			c.fail("maintenance.every", "%q, expected a duration of at least %s, such as \"336h\"", f.Every, minEvery)
		}
		m.Every = d
	}
	return m
}

func (c *checker) service(path string, f *fileService, zones []string) Service {
	s := Service{
		Name: f.Name, Needs: f.Needs, Spare: f.Spare,
		Slots:  c.bounded(path+".slots", f.Slots, defaultSlots, 1, maxSlots),
		Cores:  c.bounded(path+".cores", f.Cores, defaultCores, 1, maxCores),
		Memory: c.bounded(path+".memory", f.Memory, defaultMemory, 1, maxMemory),
		Budget: defaultBudget, Limit: defaultLimit, Share: defaultShare,
	}
	if !namePattern.MatchString(s.Name) {
		c.fail(path+".name", "%q, expected lower-case letters, digits and hyphens", s.Name)
	}
	if slices.Contains(reservedNames, s.Name) {
		c.fail(path+".name", "%q is a path of the daemons, expected another name", s.Name)
	}
	s.Runners = c.runners(path+".runners", f.Runners, zones)
	total := s.Total()
	s.Floor = c.bounded(path+".floor", f.Floor, min(1, total), 0, total)
	s.Ceiling = c.bounded(path+".ceiling", f.Ceiling, 0, total, 1<<20)
	if f.Budget != nil {
		s.Budget = *f.Budget
		if s.Budget <= 0 || s.Budget >= 1 {
			c.fail(path+".budget", "%v, expected a share between 0 and 1, such as 0.999", s.Budget)
		}
	}
	if f.Limit != "" {
		d, ok := parseDuration(f.Limit)
		if !ok || d > maxLimit {
			c.fail(path+".limit", "%q, expected a duration up to %s, such as \"2s\"", f.Limit, maxLimit)
		}
		s.Limit = d
	}
	if f.Share != nil {
		s.Share = c.share(path+".share", f.Share)
	}
	return s
}

// bounded returns the value of a field or its default, and checks that it is
// between lo and hi.
func (c *checker) bounded(field string, v *int, def, lo, hi int) int {
	if v == nil {
		return def
	}
	if *v < lo || *v > hi {
		c.fail(field, "%d, expected %d to %d", *v, lo, hi)
	}
	return *v
}

func (c *checker) share(path string, f map[string]int) [Classes]int {
	var share [Classes]int
	for class := range Class(Classes) {
		n, ok := f[class.String()]
		if !ok || n < 1 || n > maxShare {
			c.fail(path+"."+class.String(), "%d, expected a weight of 1 to %d", n, maxShare)
		}
		share[class] = n
	}
	for _, k := range slices.Sorted(maps.Keys(f)) {
		if k != Urgent.String() && k != Normal.String() && k != Background.String() {
			c.fail(path+"."+k, "unknown class, expected urgent, normal or background")
		}
	}
	return share
}

// runners converts the field runners: a number, which is spread over the zones,
// or a table by zone.
func (c *checker) runners(path string, v any, zones []string) map[string]int {
	switch v := v.(type) {
	case int64:
		if v < 0 || v > 1<<20 {
			c.fail(path, "%d, expected 0 to %d", v, 1<<20)
			return nil
		}
		return c.spread(int(v), zones)
	case map[string]any:
		return c.runnersByZone(path, v, zones)
	case nil:
		c.fail(path, "missing, expected a number or a table by zone")
	default:
		c.fail(path, "%v, expected a number or a table by zone", v)
	}
	return nil
}

func (c *checker) runnersByZone(path string, v map[string]any, zones []string) map[string]int {
	out := make(map[string]int, len(zones))
	for _, z := range slices.Sorted(maps.Keys(v)) {
		n, ok := v[z].(int64)
		if !ok || n < 0 || n > 1<<20 {
			c.fail(path+"."+z, "%v, expected a number of runners", v[z])
		}
		if !slices.Contains(zones, z) {
			c.fail(path+"."+z, "unknown zone, expected one of %s", strings.Join(zones, ", "))
		}
		out[z] = int(n)
	}
	return out
}

// spread distributes n runners over the zones. The remainder starts at the zone
// after the last one that received a remainder, so that the remainders of all
// services do not accumulate in one zone.
func (c *checker) spread(n int, zones []string) map[string]int {
	out := make(map[string]int, len(zones))
	if len(zones) == 0 {
		return out
	}
	for _, z := range zones {
		out[z] = n / len(zones)
	}
	for range n % len(zones) {
		out[zones[c.nextZone]]++
		c.nextZone = (c.nextZone + 1) % len(zones)
	}
	return out
}
