package text

import (
	"fmt"
	"slices"
	"strings"
)

// names indexes the services by name and checks that names are unique.
func (c *checker) names(t *Text) {
	t.index = make(map[string]int, len(t.Services))
	for i := range t.Services {
		n := t.Services[i].Name
		if _, ok := t.index[n]; ok {
			c.fail(fmt.Sprintf("service[%d].name", i), "service %q is listed twice", n)
			continue
		}
		t.index[n] = i
	}
}

// spare checks that exactly one service is the spare pool.
func (c *checker) spare(t *Text) {
	first := ""
	for i := range t.Services {
		s := &t.Services[i]
		if !s.Spare {
			continue
		}
		if first != "" {
			c.fail(fmt.Sprintf("service[%d].spare", i), "%q is a second spare pool beside %q, expected one", s.Name, first)
			continue
		}
		first = s.Name
	}
	if first == "" && len(t.Services) > 0 {
		c.fail("service", "no spare pool, expected spare = true at one service")
	}
}

// needs checks that the dependencies exist and form no cycle.
func (c *checker) needs(t *Text) {
	for i := range t.Services {
		for j, n := range t.Services[i].Needs {
			field := fmt.Sprintf("service[%d].needs[%d]", i, j)
			if t.Service(n) == nil {
				c.fail(field, "unknown service %q", n)
			}
		}
	}
	v := visitor{text: t, done: make(map[string]bool)}
	for i := range t.Services {
		if cycle := v.visit(t.Services[i].Name); cycle != nil {
			c.fail(fmt.Sprintf("service[%d].needs", i), "dependency cycle %s", strings.Join(cycle, " -> "))
			return
		}
	}
	c.order = v.order
}

// visitor follows the dependencies depth first.
type visitor struct {
	text *Text
	path []string
	done map[string]bool
	// order holds the visited services, each after its dependencies.
	order []*Service
}

// visit visits a service and its dependencies and returns the first cycle among
// them, or nil.
func (v *visitor) visit(name string) []string {
	if v.done[name] {
		return nil
	}
	if i := slices.Index(v.path, name); i >= 0 {
		return append(slices.Clone(v.path[i:]), name)
	}
	s := v.text.Service(name)
	if s == nil {
		return nil
	}
	v.path = append(v.path, name)
	for _, n := range s.Needs {
		if cycle := v.visit(n); cycle != nil {
			return cycle
		}
	}
	v.path = v.path[:len(v.path)-1]
	v.done[name] = true
	v.order = append(v.order, s)
	return nil
}

// inherit sets each service's budget and urgent share to the strictest budget and
// the largest urgent share of the services that depend on it. In order, each
// service follows its dependencies, so one backward pass is enough.
func inherit(t *Text, order []*Service) {
	for _, s := range slices.Backward(order) {
		for _, n := range s.Needs {
			need := t.Service(n)
			need.Budget = max(need.Budget, s.Budget)
			need.Share[Urgent] = max(need.Share[Urgent], s.Share[Urgent])
		}
	}
}

// Requires returns the services that the named one depends on, directly or
// through others, in the order of the text.
func (t *Text) Requires(name string) []string {
	seen := map[string]bool{name: true}
	for todo := []string{name}; len(todo) > 0; todo = todo[1:] {
		s := t.Service(todo[0])
		if s == nil {
			continue
		}
		for _, n := range s.Needs {
			if !seen[n] {
				seen[n] = true
				todo = append(todo, n)
			}
		}
	}
	var out []string
	for i := range t.Services {
		if n := t.Services[i].Name; n != name && seen[n] {
			out = append(out, n)
		}
	}
	return out
}

// Fit checks that each zone has a worker host for each desired runner; hosts is
// the number of worker hosts by zone.
func (t *Text) Fit(hosts map[string]int) Findings {
	var fs Findings
	for i, z := range t.Zones {
		want := 0
		for j := range t.Services {
			want += t.Services[j].Runners[z]
		}
		if want > hosts[z] {
			fs = append(fs, Finding{1, 1, fmt.Sprintf("zones[%d]", i), fmt.Sprintf("services want %d hosts in zone %s, which has %d", want, z, hosts[z])})
		}
	}
	return fs
}
