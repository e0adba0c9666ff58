package route

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
)

// seeded returns a source of random numbers for one goroutine.
func seeded(seed uint64) func() uint64 { return rand.New(rand.NewPCG(seed, 0)).Uint64 }

// fleetOf returns pools in one zone, with the workers divided evenly.
func fleetOf(pools, workers int) []Pool {
	out := make([]Pool, pools)
	for i := range out {
		out[i] = poolOf("pool-"+strconv.Itoa(i), "a", workers*(i+1)/pools-workers*i/pools, 8)
	}
	return out
}

// BenchmarkPick measures Pick and Finish together.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct{ pools, workers int }{{1, 49}, {5, 49}, {201, 1100}} {
		in := fleetOf(c.pools, c.workers)
		p := &Picker{Zone: "a"}
		p.Set(in, nil)
		for i := range in {
			running := make(map[string]int)
			for j, r := range in[i].Runners {
				running[r.Host] = j % 4
			}
			p.SetRemoteLoad("d2", in[i].Name, running)
		}
		b.Run(fmt.Sprintf("pools=%d/workers=%d", c.pools, c.workers), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := rand.IntN(c.pools); pb.Next(); i++ {
					p.Finish(p.Pick(Query{Pool: in[i%c.pools].Name, Now: t0}), answered, t0)
				}
			})
		})
	}
}
