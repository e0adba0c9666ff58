package route

import "sync/atomic"

const (
	// retryCost is the number of requests that allow one retry: 10%.
	retryCost    = 10
	defaultBurst = 5
)

// Budget limits retries to 10% of requests plus a burst. The zero value is ready
// to use.
type Budget struct {
	// Burst is the number of retries allowed at once; 0 means 5.
	Burst int

	// debt is the cost of past retries, less 1 for each request since, at least 0.
	debt atomic.Int64
}

// AddRequest counts one request. It must not be called for retries.
func (b *Budget) AddRequest() {
	for {
		n := b.debt.Load()
		if n == 0 || b.debt.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// AllowRetry reports whether the budget allows one more retry. If so, it charges
// the budget.
func (b *Budget) AllowRetry() bool {
	burst := int64(b.Burst)
	if burst == 0 {
		burst = defaultBurst
	}
	for {
		n := b.debt.Load()
		if n+retryCost > burst*retryCost {
			return false
		}
		if b.debt.CompareAndSwap(n, n+retryCost) {
			return true
		}
	}
}
