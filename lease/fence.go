package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"

	"trefoilline.example/trefoilline/objectstore"
)

// Fence guards one object so that only the latest epoch of a lease writes it.
// Its fields are set before first use; its methods are safe for concurrent use.
type Fence struct {
	Lease *Lease
	// Key is the guarded object's key in the store.
	Key string

	mu      sync.Mutex
	claimed claim
	// highest is the latest epoch seen in the object.
	highest Epoch
	// violations counts times the object's epoch went back.
	violations atomic.Uint64
}

// claim is what this fence last wrote or read under its own epoch.
type claim struct {
	Epoch   Epoch
	Version objectstore.Version
	Body    []byte
}

// fenced is the value in the store.
type fenced struct {
	Epoch Epoch  `json:"epoch"`
	Body  []byte `json:"body,omitempty"`
}

// Change computes the next body of a guarded object from the last one, which
// is nil if there is none.
type ChangeFunc func(last []byte) ([]byte, error)

// Write replaces the object's body under the running term. The first write of
// a term claims the object: it stores the body as it stands under the new
// epoch, which shuts out all earlier ones, before the change is computed.
//
// It returns a [NotHeldError] if the lease isn't held, a [StaleEpochError] if a
// later epoch has claimed the object, the change's error, or one of the
// platform. After any error the next call reads the object again; after an
// [objectstore.UnknownOutcomeError] that object may hold the change already.
func (f *Fence) Write(ctx context.Context, change ChangeFunc) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	term, err := f.Lease.Term()
	if err != nil {
		return err
	}
	if f.claimed.Epoch != term.Epoch || f.claimed.Version == 0 {
		if err := f.claim(ctx, term); err != nil {
			return err
		}
	}
	next, err := change(f.claimed.Body)
	if err != nil {
		return err
	}
	// The change may have taken long.
	if _, err := f.Lease.Term(); err != nil {
		return err
	}
	return f.put(ctx, term, next, conditionOn(f.claimed.Version))
}

// Read returns the body as it stands in the store and the epoch that wrote it.
// Anyone may read.
func (f *Fence) Read(ctx context.Context) ([]byte, Epoch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, _, err := f.load(ctx)
	return found.Body, found.Epoch, err
}

// Violations returns how often the object was found under an earlier epoch
// than before: a stale write that the store accepted. Anything but zero is a
// fault.
func (f *Fence) Violations() uint64 { return f.violations.Load() }

// claim stores the body as it stands under the term's epoch.
func (f *Fence) claim(ctx context.Context, term Term) error {
	found, version, err := f.load(ctx)
	if err != nil {
		return err
	}
	if found.Epoch > term.Epoch {
		return &StaleEpochError{
			Key:         f.Key,
			WriterEpoch: term.Epoch,
			ObjectEpoch: found.Epoch,
		}
	}
	return f.put(ctx, term, found.Body, conditionOn(version))
}

// put writes under the term's epoch and remembers the version. A conflict
// while holding a claim means that a later epoch has taken the object over.
func (f *Fence) put(ctx context.Context, term Term, body []byte, condition objectstore.Condition) error {
	value, err := json.Marshal(fenced{
		Epoch: term.Epoch,
		Body:  body,
	})
	if err != nil {
		return err
	}
	f.claimed = claim{}
	version, err := f.Lease.Store.Put(ctx, f.Key, value, condition)
	if err != nil {
		return err
	}
	f.observe(term.Epoch)
	f.claimed = claim{
		Epoch:   term.Epoch,
		Version: version,
		Body:    body,
	}
	return nil
}

// load reads the object; a missing one is empty at version zero.
func (f *Fence) load(ctx context.Context) (fenced, objectstore.Version, error) {
	object, err := f.Lease.Store.Get(ctx, f.Key)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return fenced{}, 0, nil
	}
	if err != nil {
		return fenced{}, 0, err
	}
	found, err := decode(object)
	if err != nil {
		return fenced{}, 0, err
	}
	f.observe(found.Epoch)
	return found, object.Version, nil
}

func decode(object objectstore.Object) (fenced, error) {
	var found fenced
	if err := json.Unmarshal(object.Value, &found); err != nil {
		return fenced{}, &CorruptValueError{
			Key:   object.Key,
			Cause: err,
		}
	}
	return found, nil
}

// DecodeBody returns the body of a guarded object, for readers that learn of it in
// another way than [Fence.Read]. Errors are a [CorruptValueError].
func DecodeBody(object objectstore.Object) ([]byte, error) {
	found, err := decode(object)
	return found.Body, err
}

// observe asserts that the object's epoch never goes back.
func (f *Fence) observe(epoch Epoch) {
	if epoch < f.highest {
		f.violations.Add(1)
		return
	}
	f.highest = epoch
}
