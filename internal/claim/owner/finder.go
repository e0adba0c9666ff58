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
	// batchSize and batchRate bound the transactions of one daemon. 27 daemons
	// together stay below the several hundred writes a second of the service.
	batchSize = 64
	batchRate = 10 // per second
	// recordTTL is longer than claim.MaxAge, so that no record lapses while its
	// key is accepted. A lease takes new records for leaseUse, which leaves every
	// record at least 30 min.
	recordTTL = time.Hour
	leaseUse  = 30 * time.Minute
	// storeTimeout bounds one call of the service.
	storeTimeout = 2 * time.Second
	// maxTries bounds the transactions for one key.
	maxTries = 4
	// maxLookups bounds the keys that wait.
	maxLookups = 4096
)

var (
	errBusy    = errors.New("too many keys wait for their home")
	errStopped = errors.New("stopped")
)

// lookup is the search for one key's home. Its result is set before done
// closes.
type lookup struct {
	id   uuid.UUID
	done chan struct{}
	home string
	err  error
	// tries counts transactions; waiters counts callers. Both are guarded by
	// Finder.mu.
	tries, waiters int
}

func (l *lookup) key() string { return keyPrefix + l.id.String() }

// Finder finds or becomes the home of callers' own keys. The first daemon that
// creates a key's record is its home. Every record of a daemon has the same
// value, so a transaction whose response was lost may simply be sent again:
// whichever copy takes effect, the record names this daemon, and a copy that
// comes second fails its condition and reads the record.
type Finder struct {
	self   string
	store  etcd.Store
	logger log.Logger
	limit  *rate.Limiter
	wake   chan struct{}

	// Owned by Run.
	lease   int64
	leaseAt time.Time

	mu      sync.Mutex
	closed  bool
	pending map[uuid.UUID]*lookup
	queue   []*lookup
}

// New returns a Finder; self is the incarnation that it records.
func New(self string, store etcd.Store, logger log.Logger) *Finder {
	return &Finder{
		self: self, store: store, logger: logger,
		limit:   rate.NewLimiter(batchRate, 1),
		wake:    make(chan struct{}, 1),
		pending: make(map[uuid.UUID]*lookup),
	}
}

// Find returns the incarnation that is the home of a key.
func (f *Finder) Find(ctx context.Context, id uuid.UUID) (string, error) {
	l, err := f.join(id)
	if err != nil {
		return "", err
	}
	select {
	case <-l.done:
		return l.home, l.err
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		l.waiters--
		return "", ctx.Err()
	}
}

// join adds a caller to the lookup of a key.
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
		case f.wake <- struct{}{}:
		default:
		}
	}
	l.waiters++
	return l, nil
}

// Run commits what waits until ctx ends. The first transaction after a pause starts at once;
// what arrives meanwhile shares the next one.
func (f *Finder) Run(ctx context.Context) {
	defer f.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for f.waiting() {
			if err := f.limit.Wait(ctx); err != nil {
				return
			}
			if batch := f.take(); len(batch) > 0 {
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

func (f *Finder) waiting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.queue) > 0
}

// take removes the next batch from the queue, without the keys that nobody
// waits for any more.
func (f *Finder) take() []*lookup {
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

// finish sets a lookup's result. The caller holds mu.
func (f *Finder) finish(l *lookup, home string, err error) {
	l.home, l.err = home, err
	delete(f.pending, l.id)
	close(l.done)
}

// commit runs one transaction for a batch and queues again what it left open.
func (f *Finder) commit(ctx context.Context, batch []*lookup) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := f.create(ctx, batch)
	var lost *etcd.UnknownError
	again := errors.As(err, &lost)
	if err != nil {
		f.logger.Log("msg", "homes are not recorded", "keys", len(batch), "again", again, "err", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var open []*lookup
	for _, l := range batch {
		switch home := homeIn(res, l.key()); {
		case err == nil && res.Applied:
			f.finish(l, f.self, nil)
		case err == nil && home != "":
			f.finish(l, home, nil)
		case (err == nil || again) && l.tries < maxTries:
			open = append(open, l)
		case err != nil:
			f.finish(l, "", err)
		default:
			f.finish(l, "", errBusy)
		}
	}
	f.queue = slices.Concat(open, f.queue)
}

// homeIn returns the home that a failed transaction read for a key.
func homeIn(res etcd.TxnResult, key string) string {
	for _, p := range res.Else {
		if p.Key == key {
			return string(p.Value)
		}
	}
	return ""
}

// create records this daemon as the home of a batch, if none of its keys has a
// record.
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
	var lost *etcd.UnknownError
	if err != nil && !errors.As(err, &lost) {
		f.lease = 0 // the lease may be what the service refused
	}
	return res, errors.Wrapf(err, "record %d homes", len(batch))
}

// renewLease obtains a new lease when the present one is past its use. A lease
// whose response was lost lapses unused.
func (f *Finder) renewLease(ctx context.Context) error {
	asked := time.Now()
	if f.lease != 0 && asked.Sub(f.leaseAt) < leaseUse {
		return nil
	}
	lease, err := f.store.Grant(ctx, int64(recordTTL/time.Second))
	if err != nil {
		return errors.Wrap(err, "lease for homes")
	}
	f.lease, f.leaseAt = lease, asked
	return nil
}
