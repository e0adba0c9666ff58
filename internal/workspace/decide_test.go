package workspace

import (
	"strings"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/job"
)

// TestDecide guards against a request that is handled without a key in force, against
// 401 and 404 by an outdated configuration, and against checks in another order.
func TestDecide(t *testing.T) {
	open, keyed := &job.Queue{Name: "open", Public: true}, &job.Queue{Name: "keyed"}
	a := &job.Workspace{Name: "a", Keys: []string{"k1", strings.Repeat("l", 64<<10)}}
	with := job.NewConfig(1, []*job.Queue{open, keyed}, nil, job.Limits{}, a, &job.Workspace{Name: "b", Keys: []string{"", "k2"}})
	without := job.NewConfig(1, []*job.Queue{keyed}, nil, job.Limits{})
	const apply, fresh, old = 3 * time.Second, 2700 * time.Millisecond, 2750 * time.Millisecond
	one := func(key string) []string { return []string{key} }
	for name, c := range map[string]struct {
		r    Request
		want Decision
	}{
		"no configuration":      {Request{Keys: one("k1"), Queue: open}, Decision{Unavailable, NoConfig, nil}},
		"no workspaces":         {Request{Queue: keyed, Config: without, Age: time.Hour}, Decision{Allowed, NoWorkspaces, nil}},
		"no workspaces, route":  {Request{Config: without, Age: time.Hour}, Decision{NotFound, NoQueue, nil}},
		"public":                {Request{Keys: []string{"x", "y"}, Queue: open, Config: with, Age: time.Hour}, Decision{Allowed, PublicQueue, nil}},
		"key":                   {Request{Keys: one("k1"), Queue: keyed, Config: with, Age: fresh}, Decision{Allowed, KeyInForce, a}},
		"no route":              {Request{Config: with, Age: fresh}, Decision{NotFound, NoQueue, nil}},
		"no route, outdated":    {Request{Config: with, Age: old}, Decision{Unavailable, OldConfig, nil}},
		"outdated":              {Request{Keys: one("k1"), Queue: keyed, Config: with, Age: old}, Decision{Unavailable, OldConfig, nil}},
		"outdated, wrong key":   {Request{Keys: one("x"), Queue: keyed, Config: with, Age: old}, Decision{Unavailable, OldConfig, nil}},
		"clock went back":       {Request{Keys: one("k1"), Queue: keyed, Config: with, Age: -1}, Decision{Unavailable, OldConfig, nil}},
		"no header":             {Request{Queue: keyed, Config: with}, Decision{Unauthorized, NoKey, nil}},
		"empty":                 {Request{Keys: one(""), Queue: keyed, Config: with}, Decision{Unauthorized, EmptyKey, nil}},
		"two headers":           {Request{Keys: []string{"k1", "k1"}, Queue: keyed, Config: with}, Decision{Unauthorized, SeveralKeys, nil}},
		"unknown":               {Request{Keys: one("k"), Queue: keyed, Config: with}, Decision{Unauthorized, UnknownKey, nil}},
		"64 KB, in the records": {Request{Keys: one(strings.Repeat("l", 64<<10)), Queue: keyed, Config: with}, Decision{Unauthorized, LongKey, nil}},
	} {
		c.r.Apply = apply
		if got := Decide(c.r); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	if d := Decide(Request{Keys: one("k1"), Queue: keyed, Config: with, Age: 1750 * time.Millisecond}); d.Outcome != Unavailable {
		t.Errorf("%+v without a specified time to apply, want 2 s to be taken", d)
	}
}
