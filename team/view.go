package team

import (
	"crypto/subtle"
	"maps"
	"strings"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// KeyState is what a view holds of one key.
type KeyState struct {
	Hash      Hash   `json:"hash"`
	Team      string `json:"team"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// Version is the store's version of the record.
	Version objectstore.Version `json:"version"`
}

// View is what a host knows of the keys at one moment. It never changes; every
// operation returns another view, in which no withdrawn key is good again. The
// zero value knows no key and was never confirmed.
type View struct {
	standings map[Hash]KeyState
	// Version is the store's version that the view includes all changes up to.
	Version objectstore.Version
	// ConfirmedAt is the latest time, on this host's clock, up to which the view
	// is known to include all withdrawals.
	ConfirmedAt time.Time
	// CorruptObjects counts the objects that were no records; their keys are refused.
	CorruptObjects int
}

// Verify returns the team whose key it is. Errors: [NoKeyError],
// [MalformedKeyError], [UnknownKeyError], [WithdrawnKeyError].
func (v View) Verify(text string) (string, error) {
	key, err := ParseAPIKey(text)
	if err != nil {
		return "", err
	}
	hash := key.Hash()
	standing, found := v.standings[hash]
	// The map finds by hash, which tells a prober nothing of a secret; the
	// decision itself compares in constant time.
	if !found || subtle.ConstantTimeCompare(standing.Hash[:], hash[:]) != 1 {
		return "", &UnknownKeyError{}
	}
	if standing.Withdrawn {
		return "", &WithdrawnKeyError{
			Team: standing.Team,
		}
	}
	return standing.Team, nil
}

// Age returns how long ago the view was last known to be complete.
func (v View) Age(now time.Time) time.Duration { return now.Sub(v.ConfirmedAt) }

// Len returns the number of keys, withdrawn ones too.
func (v View) Len() int { return len(v.standings) }

// KeyStates returns what the view holds, in no order, to be sent to peers.
func (v View) KeyStates() []KeyState {
	standings := make([]KeyState, 0, len(v.standings))
	for _, s := range v.standings {
		standings = append(standings, s)
	}
	return standings
}

// NewView makes a view of the standings that a peer sent.
func NewView(standings []KeyState, version objectstore.Version, confirmed time.Time) View {
	v := View{
		standings:   make(map[Hash]KeyState, len(standings)),
		Version:     version,
		ConfirmedAt: confirmed,
	}
	for _, s := range standings {
		put(v.standings, s)
	}
	return v
}

// put takes in a standing. A withdrawal holds for good, whatever comes later
// and in whatever order it comes.
func put(standings map[Hash]KeyState, s KeyState) {
	held, found := standings[s.Hash]
	if found && held.Withdrawn {
		return
	}
	if found && s.Team == "" {
		s.Team = held.Team
	}
	standings[s.Hash] = s
}

// ApplyChanges returns the view with the changes of a watch. An object that was
// deleted counts as withdrawn: nothing of ours deletes one. The view is confirmed
// up to when the watch was asked for, not when its answer came: a withdrawal may
// have been accepted while the answer was on its way.
func (v View) ApplyChanges(changes objectstore.Changes, confirmed time.Time) View {
	next := v.copy()
	for _, object := range changes.Objects {
		next.take(object)
	}
	next.Version = max(v.Version, changes.Next)
	next.ConfirmedAt = later(v.ConfirmedAt, confirmed)
	return next
}

// ApplyList returns the view brought up to a full list of the store's records.
// A key that the list lacks counts as withdrawn, unless its record is newer than
// everything listed: then a peer told of it while the list was on its way. The
// view is confirmed up to when the list was asked for.
func (v View) ApplyList(objects []objectstore.Object, confirmed time.Time) View {
	next := v.copy()
	listed := make(map[Hash]bool, len(objects))
	for _, object := range objects {
		if hash, known := next.take(object); known {
			listed[hash] = true
		}
	}
	newest := newestOf(objects)
	for hash, s := range next.standings {
		if !listed[hash] && s.Version <= newest {
			s.Withdrawn = true
			next.standings[hash] = s
		}
	}
	next.Version = max(v.Version, newest)
	next.ConfirmedAt = later(v.ConfirmedAt, confirmed)
	return next
}

func newestOf(objects []objectstore.Object) objectstore.Version {
	var newest objectstore.Version
	for _, object := range objects {
		newest = max(newest, object.Version)
	}
	return newest
}

// Merge returns a view of all that either knows.
func (v View) Merge(other View) View {
	next := v.copy()
	for _, s := range other.standings {
		put(next.standings, s)
	}
	next.Version = max(v.Version, other.Version)
	next.ConfirmedAt = later(v.ConfirmedAt, other.ConfirmedAt)
	return next
}

func (v View) copy() View {
	next := v
	next.standings = maps.Clone(v.standings)
	if next.standings == nil {
		next.standings = make(map[Hash]KeyState)
	}
	return next
}

// take takes in an object of the store. One that cannot be read is counted, and
// its key is refused from then on: it may be a withdrawal.
func (v *View) take(object objectstore.Object) (Hash, bool) {
	hash, err := ParseHash(strings.TrimPrefix(object.Key, KeyRecordPrefix))
	if err != nil {
		v.CorruptObjects++
		return Hash{}, false
	}
	record, err := ParseKeyRecord(object)
	if err != nil && !object.Deleted {
		v.CorruptObjects++
	}
	put(v.standings, KeyState{
		Hash:      hash,
		Team:      record.Team,
		Version:   object.Version,
		Withdrawn: err != nil || object.Deleted || !record.Withdrawn.IsZero(),
	})
	return hash, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
