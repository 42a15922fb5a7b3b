package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"

	"trefoilline.example/trefoilline/objectstore"
)

// Fence lets only the latest epoch of a lease write one object of the store. Set
// its fields before the first use. Its methods are safe for concurrent use.
type Fence struct {
	Lease *Lease
	// Key is the object key of the fenced object.
	Key string

	mu      sync.Mutex
	written writtenState
	// highestEpoch is the highest epoch seen in the object.
	highestEpoch Epoch
	// violations counts how often the object's epoch decreased.
	violations atomic.Uint64
}

// writtenState is the state of the object after this fence's last successful
// write. It is zero if the fence must read the object again.
type writtenState struct {
	Epoch   Epoch
	Version objectstore.Version
	Body    []byte
}

// fencedValue is the stored value of a fenced object.
type fencedValue struct {
	Epoch Epoch  `json:"epoch"`
	Body  []byte `json:"body,omitempty"`
}

// ChangeFunc computes the next body of a fenced object from the current one,
// which is nil if there is none.
type ChangeFunc func(current []byte) ([]byte, error)

// Write changes the object's body under the lease's current term. The first write
// of a term takes the object over: before the change is computed, it stores the
// current body with the new epoch, after which earlier epochs can't write.
//
// It returns a [NotHeldError] if the lease isn't held, a [StaleEpochError] if a
// later epoch has taken the object over, a [CorruptValueError], the error of the
// change function, or an error of the store. If a later epoch takes the object over
// after this term did so, the error is an [objectstore.ConflictError].
//
// After an error of the store the next call reads the object again. If the error
// was an [objectstore.UnknownOutcomeError], the object may contain the change
// already.
func (f *Fence) Write(ctx context.Context, change ChangeFunc) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	term, err := f.Lease.Term()
	if err != nil {
		return err
	}
	if f.written.Epoch != term.Epoch || f.written.Version == 0 {
		if err := f.takeOver(ctx, term); err != nil {
			return err
		}
	}
	next, err := change(f.written.Body)
	if err != nil {
		return err
	}
	// The term may have ended while the change was computed.
	if _, err := f.Lease.Term(); err != nil {
		return err
	}
	return f.put(ctx, term, next, ifUnchanged(f.written.Version))
}

// Read returns the body in the store and the epoch that wrote it. Reading doesn't
// require the lease.
func (f *Fence) Read(ctx context.Context) ([]byte, Epoch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, _, err := f.load(ctx)
	return found.Body, found.Epoch, err
}

// ViolationCount returns how often the object was found with a lower epoch than
// before, which means that the store accepted a stale write. It must be zero.
func (f *Fence) ViolationCount() uint64 { return f.violations.Load() }

// takeOver stores the current body with the term's epoch.
func (f *Fence) takeOver(ctx context.Context, term Term) error {
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
	return f.put(ctx, term, found.Body, ifUnchanged(version))
}

// put writes the body with the term's epoch and remembers the version. Once this
// term has taken the object over, a conflict means that a later epoch did so too.
func (f *Fence) put(ctx context.Context, term Term, body []byte, condition objectstore.Condition) error {
	value, err := json.Marshal(fencedValue{
		Epoch: term.Epoch,
		Body:  body,
	})
	if err != nil {
		return err
	}
	f.written = writtenState{}
	version, err := f.Lease.Store.Put(ctx, f.Key, value, condition)
	if err != nil {
		return err
	}
	f.checkEpoch(term.Epoch)
	f.written = writtenState{
		Epoch:   term.Epoch,
		Version: version,
		Body:    body,
	}
	return nil
}

// load reads the object. If it is missing, the value is empty and the version zero.
func (f *Fence) load(ctx context.Context) (fencedValue, objectstore.Version, error) {
	object, err := f.Lease.Store.Get(ctx, f.Key)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return fencedValue{}, 0, nil
	}
	if err != nil {
		return fencedValue{}, 0, err
	}
	found, err := decodeFencedValue(object)
	if err != nil {
		return fencedValue{}, 0, err
	}
	f.checkEpoch(found.Epoch)
	return found, object.Version, nil
}

func decodeFencedValue(object objectstore.Object) (fencedValue, error) {
	var found fencedValue
	if err := json.Unmarshal(object.Value, &found); err != nil {
		return fencedValue{}, &CorruptValueError{
			Key:   object.Key,
			Cause: err,
		}
	}
	return found, nil
}

// DecodeBody returns the body of a fenced object, for readers that get the object
// in another way than by [Fence.Read]. It returns a [CorruptValueError] if the
// value of the object can't be decoded.
func DecodeBody(object objectstore.Object) ([]byte, error) {
	found, err := decodeFencedValue(object)
	return found.Body, err
}

// checkEpoch counts a violation if the object's epoch decreased.
func (f *Fence) checkEpoch(epoch Epoch) {
	if epoch < f.highestEpoch {
		f.violations.Add(1)
		return
	}
	f.highestEpoch = epoch
}
