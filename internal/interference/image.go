package interference

import (
	"cmp"
	"math"

	"gypsumtrestle.example/gypsumtrestle/internal/clock"
)

const (
	// minEffect is the least effect of a pair that is worth keeping it apart: a fifth.
	minEffect = 0.18
	// minErrors is how many standard errors above zero a known effect is. Of 400 harmless
	// pairs, some reach 2.5 within two hours.
	minErrors = 3
	// goneErrors is how many standard errors below its known value an effect is that has
	// gone. With 2, four times as many pairs are still known 8 s later.
	goneErrors = 1
	// minVariance is the least variance that an observation is taken to have, since few
	// equal ones say little.
	minVariance = 0.15 * 0.15
	// maxGrowth is how far the weights grow before they are scaled back.
	maxGrowth = 1e6
)

// image is the observations of one image. The sums are weighted by the growth at the time
// of each observation, so that older ones count less without being touched.
type image struct {
	kind     Kind
	since    clock.BootTime // when a new observation has a growth of 1
	at       clock.BootTime // the last observation
	n, y, yy float64        // sums of 1, of the observations and of their squares
	pairs    map[string]*pair
	// level is the present mean of latencies; see relative.
	level, levelWeight float64
}

// pair is the observations of an image with another one beside it.
type pair struct {
	a, aa, ay float64 // sums of the amounts, their squares and their product with y
	effect    float64 // 0: not known
	at        clock.BootTime
}

// relative returns a latency relative to the present mean of the image.
func (im *image) relative(y float64, now clock.BootTime) float64 {
	if im.at != 0 {
		im.levelWeight *= math.Exp(-float64(now.Sub(im.at)) / float64(levelWindow))
	}
	im.levelWeight++
	im.level += (y - im.level) / im.levelWeight
	return y - im.level
}

func (im *image) growth(now clock.BootTime) float64 {
	return math.Exp(float64(now.Sub(im.since)) / float64(im.kind.window()))
}

func (im *image) observe(y, weight float64, beside []Neighbor, now clock.BootTime) {
	g := im.growth(now)
	if g > maxGrowth {
		im.scale(1 / g)
		im.since, g = now, 1
	}
	im.at = now
	for _, nb := range beside {
		if p := im.pairs[nb.Image]; p != nil {
			y -= p.effect * nb.Amount
		}
	}
	w := weight * g
	im.n, im.y, im.yy = im.n+w, im.y+w*y, im.yy+w*y*y
	for _, nb := range beside {
		p := im.pairs[nb.Image]
		if p == nil {
			if len(im.pairs) >= maxBeside && !im.evict() {
				continue
			}
			p = &pair{}
			im.pairs[nb.Image] = p
		}
		p.a, p.aa, p.ay = p.a+w*nb.Amount, p.aa+w*nb.Amount*nb.Amount, p.ay+w*nb.Amount*y
		if nb.Amount >= 0.5 {
			p.at = now
		}
	}
}

func (im *image) scale(f float64) {
	im.n, im.y, im.yy = im.n*f, im.y*f, im.yy*f
	for _, p := range im.pairs {
		p.a, p.aa, p.ay = p.a*f, p.aa*f, p.ay*f
	}
}

// evict removes the pair with the fewest observations that is not known, and reports
// whether there is one.
func (im *image) evict() bool {
	var least string
	found := false
	for by, p := range im.pairs {
		if p.effect != 0 {
			continue
		}
		if !found || cmp.Or(cmp.Compare(p.aa, im.pairs[least].aa), cmp.Compare(by, least)) < 0 {
			least, found = by, true
		}
	}
	delete(im.pairs, least)
	return found
}

// fit returns the slope of the observations over the amounts of a pair, and its standard
// error. It returns false if the amounts differ too little.
func (im *image) fit(p *pair, now clock.BootTime) (slope, deviation float64, ok bool) {
	if im.n <= 0 {
		return 0, 0, false
	}
	g := im.growth(now)
	spread := p.aa - p.a*p.a/im.n
	if spread < im.kind.minSpread()*g {
		return 0, 0, false
	}
	product := p.ay - p.a*im.y/im.n
	slope = product / spread
	variance := max((im.yy-im.y*im.y/im.n-slope*product)/im.n, minVariance)
	return slope, math.Sqrt(variance / (spread / g)), true
}

// learn makes the pair with the most certain effect known. The observations up to then
// are discarded, since the effect is contained in what other pairs show. Of images that
// were always beside this one together, with equal evidence, the first by name is chosen,
// since the order of a map differs from run to run.
func (im *image) learn(k key, now clock.BootTime) (c Change, ok bool) {
	best := 0.0
	for by, p := range im.pairs {
		slope, deviation, fits := im.fit(p, now)
		if !fits || p.effect != 0 || slope < max(minEffect, minErrors*deviation) {
			continue
		}
		if ok && cmp.Or(cmp.Compare(best, slope/deviation), cmp.Compare(by, c.By)) >= 0 {
			continue
		}
		best, ok = slope/deviation, true
		c = Change{Kind: k.kind, Image: k.image, By: by, Factor: math.Exp(slope), Error: math.Exp(deviation), Observed: p.aa / im.growth(now)}
	}
	if ok {
		p := im.pairs[c.By]
		p.effect, p.at = math.Log(c.Factor), now
		im.scale(0)
	}
	return c, ok
}

// expire removes the known pairs whose effect has gone, or that have not been observed
// for a while.
func (im *image) expire(k key, now clock.BootTime) []Change {
	var changes []Change
	for by, p := range im.pairs {
		if p.effect == 0 {
			continue
		}
		slope, deviation, fits := im.fit(p, now)
		why := ""
		switch {
		case fits && p.effect+slope < minEffect && -slope > goneErrors*deviation:
			why = "effect has gone"
		case now.Sub(p.at) > k.kind.hold():
			why = "not observed"
		default:
			continue
		}
		changes = append(changes, Change{
			Kind: k.kind, Image: k.image, By: by, Factor: math.Exp(p.effect + slope), Error: math.Exp(deviation),
			Observed: p.aa / im.growth(now), Expired: why,
		})
		delete(im.pairs, by)
	}
	if len(changes) > 0 {
		im.scale(0)
	}
	return changes
}
