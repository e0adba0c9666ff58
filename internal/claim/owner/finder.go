package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"gypsumtrestle.example/gypsumtrestle/internal/etcd"
)

const (
	keyPrefix = "/gtkey/"
	// batchSize and batchRate limit the transactions of one daemon, so that 27
	// daemons together stay below the several hundred writes per second that the
	// store supports.
	batchSize = 64
	batchRate = 10 // transactions per second
	// recordTTL is longer than claim.MaxAge, so that no record expires while its
	// key is accepted. New records use the same lease for leaseRenewInterval, so
	// every record is kept for at least 30 min.
	recordTTL          = time.Hour
	leaseRenewInterval = 30 * time.Minute
	// storeTimeout is the timeout of the store calls for one batch.
	storeTimeout = 2 * time.Second
	// maxTries is the maximum number of transactions for one key.
	maxTries = 4
	// maxLookups is the maximum number of pending lookups.
	maxLookups = 4096
)

var (
	errBusy    = errors.New("find key owner: too many concurrent lookups")
	errStopped = errors.New("find key owner: finder stopped")
)

// lookup is a search for the owner of one key. The result is set before done is
// closed.
type lookup struct {
	id    uuid.UUID
	done  chan struct{}
	owner string
	err   error
	// tries is the number of transactions, waiters that of callers. Both are
	// guarded by Finder.mu.
	tries, waiters int
}

func (l *lookup) key() string { return keyPrefix + l.id.String() }

// Finder finds the owners of callers' own keys. The first daemon that creates the
// record of a key becomes its owner. All records of a daemon have the same value,
// so a transaction whose response was lost can be sent again: whichever copy is
// applied, the record names this daemon, and a second copy fails its condition and
// reads the record.
type Finder struct {
	self   string
	store  etcd.Store
	logger log.Logger
	limit  *rate.Limiter
	wakeup chan struct{}

	// Accessed by Run only.
	lease          int64
	leaseRequested time.Time

	mu      sync.Mutex
	closed  bool
	pending map[uuid.UUID]*lookup
	queue   []*lookup
}

// New returns a Finder that records self as the owner of new keys.
func New(self string, store etcd.Store, logger log.Logger) *Finder {
	return &Finder{
		self: self, store: store, logger: logger,
		limit:   rate.NewLimiter(batchRate, 1),
		wakeup:  make(chan struct{}, 1),
		pending: make(map[uuid.UUID]*lookup),
	}
}

// Find returns the incarnation that owns a key. If the key has no record yet, this
// daemon becomes its owner. Find fails if ctx is done, if the store does not return
// the owner within a few tries, or if too many lookups are pending.
func (f *Finder) Find(ctx context.Context, id uuid.UUID) (string, error) {
	l, err := f.join(id)
	if err != nil {
		return "", err
	}
	select {
	case <-l.done:
		return l.owner, l.err
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		l.waiters--
		return "", ctx.Err()
	}
}

// join adds a caller to the lookup of a key, which it starts if necessary.
func (f *Finder) join(id uuid.UUID) (*lookup, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.pending[id]
	if l == nil {
		if f.closed {
			return nil, errStopped
		}
		if len(f.pending) >= maxLookups {
			return nil, errBusy
		}
		l = &lookup{id: id, done: make(chan struct{})}
		f.pending[id] = l
		f.queue = append(f.queue, l)
		select {
		case f.wakeup <- struct{}{}:
		default:
		}
	}
	l.waiters++
	return l, nil
}

// Run commits pending lookups until ctx is done. The first transaction after an
// idle period starts at once; lookups that are added during it share the next one.
func (f *Finder) Run(ctx context.Context) {
	defer f.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakeup:
		}
		for f.hasQueued() {
			if err := f.limit.Wait(ctx); err != nil {
				return
			}
			if batch := f.nextBatch(); len(batch) > 0 {
				f.commit(ctx, batch)
			}
		}
	}
}

func (f *Finder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, l := range f.pending {
		f.finish(l, "", errStopped)
	}
}

func (f *Finder) hasQueued() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.queue) > 0
}

// nextBatch removes the next batch from the queue. It leaves out lookups without
// waiting callers.
func (f *Finder) nextBatch() []*lookup {
	f.mu.Lock()
	defer f.mu.Unlock()
	var batch []*lookup
	for len(f.queue) > 0 && len(batch) < batchSize {
		l := f.queue[0]
		f.queue = f.queue[1:]
		if l.waiters == 0 {
			f.finish(l, "", context.Canceled)
			continue
		}
		l.tries++
		batch = append(batch, l)
	}
	return batch
}

// finish sets the result of a lookup. The caller must hold mu.
func (f *Finder) finish(l *lookup, owner string, err error) {
	l.owner, l.err = owner, err
	delete(f.pending, l.id)
	close(l.done)
}

// commit runs one transaction for a batch and returns unresolved lookups to the
// queue.
func (f *Finder) commit(ctx context.Context, batch []*lookup) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := f.create(ctx, batch)
	var unknown *etcd.UnknownError
	retry := errors.As(err, &unknown)
	if err != nil {
		f.logger.Log("msg", "key owner write failed", "keys", len(batch), "again", retry, "err", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []*lookup
	for _, l := range batch {
		switch owner := ownerIn(res, l.key()); {
		case err == nil && res.Applied:
			f.finish(l, f.self, nil)
		case err == nil && owner != "":
			f.finish(l, owner, nil)
		case (err == nil || retry) && l.tries < maxTries:
			open = append(open, l)
		case err != nil:
			f.finish(l, "", err)
		default:
			f.finish(l, "", errBusy)
		}
	}
	f.queue = slices.Concat(open, f.queue)
}

// ownerIn returns the owner of a key that a transaction with a failed condition
// read, or an empty string.
func ownerIn(res etcd.TxnResult, key string) string {
	for _, p := range res.Else {
		if p.Key == key {
			return string(p.Value)
		}
	}
	return ""
}

// create records this daemon as the owner of all keys of a batch, if none of them
// has a record.
func (f *Finder) create(ctx context.Context, batch []*lookup) (etcd.TxnResult, error) {
	if err := f.renewLease(ctx); err != nil {
		return etcd.TxnResult{}, err
	}
	var t etcd.Txn
	for _, l := range batch {
		key := l.key()
		t.Conds = append(t.Conds, etcd.Cond{Key: key})
		t.Puts = append(t.Puts, etcd.Put{Key: key, Value: []byte(f.self), Lease: f.lease})
		t.Else = append(t.Else, key)
	}
	res, err := f.store.Do(ctx, t)
	var unknown *etcd.UnknownError
	if err != nil && !errors.As(err, &unknown) {
		f.lease = 0 // the store may have rejected the lease
	}
	return res, errors.Wrapf(err, "record owner of %d keys", len(batch))
}

// renewLease obtains a new lease if the current one is older than
// leaseRenewInterval. A lease whose response was lost expires unused.
func (f *Finder) renewLease(ctx context.Context) error {
	requested := time.Now()
	if f.lease != 0 && requested.Sub(f.leaseRequested) < leaseRenewInterval {
		return nil
	}
	lease, err := f.store.Grant(ctx, int64(recordTTL/time.Second))
	if err != nil {
		return errors.Wrap(err, "grant lease for key owner records")
	}
	f.lease, f.leaseRequested = lease, requested
	return nil
}
