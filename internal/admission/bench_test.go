package admission_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gypsumtrestle.example/gypsumtrestle/internal/admission"
	"gypsumtrestle.example/gypsumtrestle/pkg/text"
)

// Guards against heap allocations in a decision while a slot is free.
func TestNoAllocation(t *testing.T) {
	s := admission.Scheduler{Slots: 4}
	g := newGate(4)
	var parts []int
	demand := [][text.Classes]int{{9, 0, 3}, {1, 2, 3}, {0, 0, 90}}
	ctx, deadline := context.Background(), time.Now().Add(time.Hour)
	for name, decide := range map[string]func(){
		"scheduler": func() {
			id, _ := s.Arrive(epoch, text.Normal, epoch.Add(time.Second))
			s.Done(epoch.Add(time.Millisecond), id)
		},
		"gate": func() {
			tk, _ := g.Enter(ctx, text.Normal, deadline)
			tk.Done(deadline)
		},
		"divide": func() { parts = admission.DivideSlots(parts[:0], 24, shares, demand) },
	} {
		if n := testing.AllocsPerRun(1000, decide); n != 0 {
			t.Errorf("%s: %v allocations per decision, want 0", name, n)
		}
	}
}

func BenchmarkArrive(b *testing.B) {
	s := admission.Scheduler{Slots: 49 * slotsPerRunner}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := s.Arrive(epoch, text.Normal, epoch.Add(time.Second))
		s.Done(epoch.Add(time.Millisecond), id)
	}
}

// The sizes are 49 runners, the total of both users, and the target size of 201
// pools.
func BenchmarkGate(b *testing.B) {
	for _, size := range []struct{ pools, slots int }{{1, 49 * slotsPerRunner}, {201, 4 * slotsPerRunner}} {
		b.Run(fmt.Sprintf("pools=%d/slots=%d", size.pools, size.slots), func(b *testing.B) {
			gates := make([]*admission.Gate, size.pools)
			for i := range gates {
				gates[i] = newGate(size.slots)
			}
			ctx, deadline := context.Background(), time.Now().Add(time.Hour)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					tk, _ := gates[i%len(gates)].Enter(ctx, text.Class(i%text.Classes), deadline)
					tk.Done(time.Now())
				}
			})
		})
	}
}

// Measures a full pool: each iteration is one completion, the next dispatch and
// one arrival that is queued.
func BenchmarkOverload(b *testing.B) {
	s := admission.Scheduler{Slots: 49 * slotsPerRunner, Shares: shares}
	now := epoch
	ids := make([]admission.ID, s.Slots)
	for i := range ids {
		ids[i], _ = s.Arrive(now, text.Class(i%text.Classes), time.Time{})
	}
	for i := range 64 * text.Classes {
		s.Arrive(now, text.Class(i%text.Classes), time.Time{})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		if !s.Done(now, ids[i%len(ids)]) {
			b.Fatal("Done returned false for a running request")
		}
		id, c, _, _ := s.Next(now)
		ids[i%len(ids)] = id
		s.Arrive(now, c, time.Time{})
	}
}

func BenchmarkDivide(b *testing.B) {
	demand := [][text.Classes]int{{9, 0, 3}, {1, 2, 3}, {0, 0, 90}}
	parts := make([]int, 0, len(demand))
	b.ReportAllocs()
	for b.Loop() {
		for range 201 {
			parts = admission.DivideSlots(parts[:0], 4*slotsPerRunner, shares, demand)
		}
	}
}
