package interference

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

// Kind is the kind of an observation.
type Kind int

// Kinds of observations.
const (
	RunTime Kind = iota // run time by expected run time
	Latency             // tail latency
)

func (k Kind) String() string { return [...]string{"run-time", "latency"}[k] }

const (
	// maxImages bounds the images that are observed, and maxBeside the others of which
	// the effect on one is: in all, about 1 MB.
	maxImages = 128
	maxBeside = 64
	// MaxImage is the length from which an image is not observed. Callers choose the
	// names, and a table keeps them.
	MaxImage = 256
	// maxChange limits one observation. 3% of tasks take seven times as long as others.
	maxChange = 1.0
	// levelWindow is the time constant of the mean that latencies are relative to.
	levelWindow = 2 * time.Second
)

// window is the time constant with which observations are forgotten. Effects on latencies
// change within seconds; steps end less often than latencies are reported.
func (k Kind) window() time.Duration {
	if k == Latency {
		return 3 * time.Second
	}
	return 15 * time.Second
}

// hold is how long a pair is known that is not observed.
func (k Kind) hold() time.Duration {
	if k == Latency {
		return 6 * time.Second
	}
	return 20 * time.Second
}

// minSpread is the least sum of squared deviations of the amounts. For run times it is
// reached by two independent observations with the other image beside and two without it;
// with less, harmless pairs become known. For latencies it is not reached by one task,
// which may have a higher load than others.
func (k Kind) minSpread() float64 {
	if k == Latency {
		return 1.5
	}
	return 1
}

// Neighbor is an image that was beside a task, for the whole time and at full speed if
// Amount is 1.
type Neighbor struct {
	Image  string
	Amount float64
}

type key struct {
	image string
	kind  Kind
}

// Table holds the observations and the known pairs. The zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	images map[key]*image
	known  int
	// together are the effects of known pairs in both directions.
	together map[string]map[string]float64
}

// Known returns the number of known pairs. Two images that slow each other count twice.
func (t *Table) Known() int { return t.known }

// Effects returns the images that slow an image or are slowed by it, with the sum of both
// effects; nil if there are none. An effect is the logarithm of a factor.
func (t *Table) Effects(image string) map[string]float64 { return t.together[image] }

// Observe records how slow a task of an image was, as a factor of any base, and what was
// beside it. Observations that have noise in common share a weight of 1.
func (t *Table) Observe(kind Kind, name string, slow, weight float64, beside []Neighbor, now clock.BootTime) {
	if slow <= 0 || name == "" || len(name) >= MaxImage {
		return
	}
	im := t.images[key{name, kind}]
	if im == nil {
		im = t.add(key{name, kind}, now)
	}
	y := math.Log(slow)
	if kind == Latency {
		y = im.relative(y, now)
	}
	im.observe(min(max(y, -maxChange), maxChange), weight, beside, now)
}

// add adds an image, and evicts the one that has not been observed for the longest time
// if there are too many.
func (t *Table) add(k key, now clock.BootTime) *image {
	if t.images == nil {
		t.images = make(map[key]*image)
	}
	if len(t.images) >= maxImages {
		var oldest key
		first := true
		for k, im := range t.images {
			if first || cmp.Or(cmp.Compare(im.at, t.images[oldest].at), cmp.Compare(k.image, oldest.image), cmp.Compare(k.kind, oldest.kind)) < 0 {
				oldest, first = k, false
			}
		}
		delete(t.images, oldest)
		t.index()
	}
	im := &image{kind: k.kind, since: now, pairs: make(map[string]*pair)}
	t.images[k] = im
	return im
}

// Change says that a pair has become known, or has expired.
type Change struct {
	Kind      Kind
	Image, By string
	// Factor is how much slower Image is beside By, and Error its standard error as a
	// factor.
	Factor, Error float64
	Observed      float64 // weight of the observations with By beside Image
	// Expired is why the pair has expired; empty: it has become known.
	Expired string
}

// Update looks for pairs that have become known or have expired.
func (t *Table) Update(now clock.BootTime) []Change {
	var changes []Change
	for k, im := range t.images {
		changes = append(changes, im.expire(k, now)...)
		if c, ok := im.learn(k, now); ok {
			changes = append(changes, c)
		}
	}
	if len(changes) > 0 {
		t.index()
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Image, b.Image), cmp.Compare(a.By, b.By), cmp.Compare(a.Kind, b.Kind))
	})
	return changes
}

// index computes what Known and Effects return.
func (t *Table) index() {
	t.known, t.together = 0, make(map[string]map[string]float64)
	add := func(a, b string, effect float64) {
		if t.together[a] == nil {
			t.together[a] = make(map[string]float64)
		}
		t.together[a][b] += effect
	}
	for k, im := range t.images {
		for by, p := range im.pairs {
			if p.effect == 0 {
				continue
			}
			t.known++
			add(k.image, by, p.effect)
			if by != k.image {
				add(by, k.image, p.effect)
			}
		}
	}
}
