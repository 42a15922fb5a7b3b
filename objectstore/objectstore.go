/*
Package objectstore is the client of the platform's object store: a key-value store
with versions, conditional writes and watches, and a list of the entry hosts and
backend servers, which lags behind their real state. [Client] makes the calls over
the HTTP API with paths under /v1, for trefoillined run; trefoillined serve uses
platform.StoreClient, which speaks the API of its platform. [RateLimitedStore] limits the
rate of calls. A [Follower] keeps a local copy of all objects with a prefix, so that a
host that routes requests needs no call to the store to look an object up. It also
serves its recent changes to other hosts, with
[Follower.WaitForChanges], so that not every host watches the store; with
[Follower.NextCatchUpAction] a host finds out that it has missed a change.

The type of an error tells whether the call took effect:

  - [ConflictError], [NotFoundError] and [RefusedError]: the store responded;
    the call changed nothing. An exception is a RefusedError of platform.StoreClient
    with status 5xx, after which a write may have taken effect.
  - [UnavailableError]: the store was not reached or was unavailable; the call
    changed nothing.
  - [RateLimitError]: the call was not sent.
  - [UnknownOutcomeError]: the call may or may not have taken effect. Read the
    object again before repeating a write.

An [InvalidMachinesError] comes with the machines that could be decoded.

Two errors are about watches: [HistoryGoneError] asks the caller to list the objects
again, and [StaleError] says that a follower's copy may be out of date.

# Usage

	store := &objectstore.Client{
		Address: netip.MustParseAddrPort("10.0.0.9:7000"),
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

// Object is one value of the store at one version.
type Object struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Status is the observed state of the object, in stores that keep it apart
	// from the value.
	Status  []byte  `json:"status,omitempty"`
	Version Version `json:"version"`
	// Deleted marks the removal of the key; only watches report it.
	Deleted bool `json:"deleted,omitempty"`
	// MayBeAlive marks an object that may have been removed only because an outage of
	// the store kept its writer from renewing it: the host or backend server that it
	// describes may still be alive. Only a [Follower] sets it.
	MayBeAlive bool `json:"lapsed,omitempty"`
}

// size returns how many bytes the object takes, without what maps and slices add.
func (o Object) size() int { return len(o.Key) + len(o.Value) + len(o.Status) }

// Condition says when a write may take effect. A nil condition is [Always].
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
	// or a [ConflictError] with the current version of the key.
	Put(ctx context.Context, key string, value []byte, condition Condition) (Version, error)
	// Delete removes the key if the condition holds.
	Delete(ctx context.Context, key string, condition Condition) error
	// List returns all objects whose key starts with the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until a key with the prefix changes after the given version, or
	// until the wait time is over. It returns the changes in version order and the
	// version to continue from. It returns no error if nothing changed.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (VersionedObjects, error)
}

// VersionedObjects is the result of a watch or of a snapshot: the objects that changed, or all
// objects, and the version to watch from.
type VersionedObjects struct {
	Objects []Object `json:"objects"`
	// Next is the version to pass to the next watch.
	Next Version `json:"next"`
}

// SnapshotWatcher is a source of objects that are first listed and then watched.
type SnapshotWatcher interface {
	// Snapshot lists all objects whose key starts with the prefix, as [Store.List]
	// does, and also returns the version to watch from.
	Snapshot(ctx context.Context, prefix string) (VersionedObjects, error)
	// Watch works as [Store.Watch]. It may return a [HistoryGoneError].
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (VersionedObjects, error)
}

// MachineKind is the role of a listed machine.
type MachineKind string

// The kinds of listed machines.
const (
	EntryHost     MachineKind = "entry-host"
	BackendServer MachineKind = "backend-server"
)

// MachineState is the state of a machine as the platform reports it.
type MachineState string

// The states of listed machines.
const (
	Live     MachineState = "live"
	Draining MachineState = "leaving"
)

// Machine is an entry of the platform's list of machines. The list lags: an entry
// may be seconds old, and a machine that died stays listed for a while.
type Machine struct {
	Name    string         `json:"name"`
	Kind    MachineKind    `json:"kind"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
	State   MachineState   `json:"state"`
	// Service is the service that a backend server runs; empty for entry hosts.
	Service string `json:"service,omitempty"`
	// Slots is how many requests a backend server runs at once; zero for entry
	// hosts.
	Slots int `json:"slots,omitempty"`
	// WarmUp is the remaining warm-up time of a backend server at the time when the
	// entry was written.
	WarmUp time.Duration `json:"cold-for,omitempty"`
	// Started is when the machine started, by its own clock; zero if unknown.
	Started time.Time `json:"started,omitzero"`
}

// Directory is the platform's list of machines.
type Directory interface {
	// Machines returns all machines that the platform lists. If some entries can't be decoded,
	// it returns the others and an [InvalidMachinesError].
	Machines(ctx context.Context) ([]Machine, error)
}
