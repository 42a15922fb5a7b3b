/*
Package objectstore is the client's view of the store of the platform that trefoilline runs
on: a versioned object store with conditional updates and watches, and a
lagging list of hosts and backend servers.

Every error says what is known about the call, because a caller acts
differently on each:

  - [ConflictError], [NotFoundError] and [RefusedError]: the store answered;
    the call changed nothing.
  - [UnreachedError]: the call never reached the store; it changed nothing.
  - [UnknownOutcomeError]: the call may or may not have taken effect. Read the
    object again before repeating a write.

# Usage

	store := &objectstore.Client{
		Base: netip.MustParseAddrPort("10.0.0.9:7000"),
	}
	object, err := store.Get(ctx, "table/head")
	_, err = store.Put(ctx, "table/head", value, objectstore.IfVersion{
		Version: object.Version,
	})
*/
package objectstore

import (
	"context"
	"net/netip"
	"time"
)

// MaxValueSize is the largest value that the store accepts, in bytes.
const MaxValueSize = 1 << 20

// Version numbers the writes of the store. It grows with each write to any
// key, so the versions of one key grow too. Zero means "no version".
type Version uint64

// Object is one value of the store at one version.
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Status is what is observed of the object apart from its value, in stores
	// that keep both.
	Status  []byte  `json:"status,omitempty"`
	Version Version `json:"version"`
	// Deleted marks the removal of the key; only watches report it.
	Deleted bool `json:"deleted,omitempty"`
	// Lapsed marks a removal during an outage of the store: what the object stands
	// for may be alive. Only a [Follower] tells it.
	RemovedDuringOutage bool `json:"lapsed,omitempty"`
}

// Condition says when a write may take effect. The zero condition is [Always].
type Condition interface{ condition() }

// Always lets a write take effect whatever is stored.
type Always struct{}

// IfAbsent lets a write take effect only if the key does not exist.
type IfAbsent struct{}

// IfVersion lets a write take effect only if the key is at this version.
type IfVersion struct {
	Version Version
}

func (Always) condition()    {}
func (IfAbsent) condition()  {}
func (IfVersion) condition() {}

// Store is the platform's object store.
type Store interface {
	// Get returns the object, or a [NotFoundError].
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the condition holds and returns the new version,
	// or a [ConflictError] that carries the version found.
	Put(ctx context.Context, key string, value []byte, condition Condition) (Version, error)
	// Delete removes the key if the condition holds.
	Delete(ctx context.Context, key string, condition Condition) error
	// List returns all objects whose key starts with the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until a key with the prefix has changed after the version, or
	// until the wait is over, and returns the changes in version order, together
	// with the version to continue from. No change is no error.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
}

// Changes is the answer of a watch.
type Changes struct {
	Objects []Object `json:"objects"`
	// Next is the version to pass to the next watch.
	Next Version `json:"next"`
}

// SnapshotWatcher is a store whose objects are listed and then watched.
type SnapshotWatcher interface {
	// Snapshot returns all objects whose key starts with the prefix, and the
	// version to watch from.
	Snapshot(ctx context.Context, prefix string) (Changes, error)
	// Watch is that of [Store]. It may return a [HistoryGoneError].
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error)
}

// MachineKind tells what a listed machine does.
type MachineKind string

// The kinds of listed machines.
const (
	EntryHost     MachineKind = "entry-host"
	BackendServer MachineKind = "backend-server"
)

// MachineState is what the platform says of a machine.
type MachineState string

// The states of listed machines.
const (
	Live     MachineState = "live"
	Draining MachineState = "leaving"
)

// Machine is an entry of the platform's list. The list lags: an entry may be
// seconds old, and a machine that died stays listed for a while.
type Machine struct {
	Name    string         `json:"name"`
	Kind    MachineKind    `json:"kind"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   MachineState   `json:"state"`
	// Service is what a backend server serves; empty for entry hosts.
	Service string `json:"service,omitempty"`
	// Slots is how many requests a backend server runs at once; zero for entry
	// hosts.
	Slots int `json:"slots,omitempty"`
	// WarmUp is how much longer a backend server is cold, at the time of its
	// entry.
	WarmUp time.Duration `json:"cold-for,omitempty"`
	// Started is when the machine started, by its own clock; zero if it is not
	// told.
	Started time.Time `json:"started,omitzero"`
}

// Directory is the platform's list of machines.
type Directory interface {
	// Machines returns the list and its age as far as the platform tells.
	Machines(ctx context.Context) ([]Machine, error)
}
