package apikey

import (
	"crypto/subtle"
	"maps"
	"strings"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// KeyState is the state of one API key in a view.
type KeyState struct {
	Hash      Hash   `json:"hash"`
	Team      string `json:"team"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	// Version is the version of the key's record in the store.
	Version objectstore.Version `json:"version"`
}

// View is an immutable snapshot of the API keys that a host knows. ApplyChanges,
// ApplyList and Merge return a new view, in which each withdrawn key stays
// withdrawn. The zero value has no keys and a zero ConfirmedAt.
type View struct {
	states map[Hash]KeyState
	// Version is the store's version up to which the view includes all changes.
	Version objectstore.Version
	// ConfirmedAt is the latest time, on this host's clock, up to which the view
	// is known to include all withdrawals: when the list or the changes that
	// were applied last were requested.
	ConfirmedAt time.Time
	// CorruptObjects counts how often an applied object was not a valid record. If
	// its object key contains a hash, the key with this hash counts as withdrawn.
	CorruptObjects int
}

// Verify returns the team that the API key with the text was issued to. It
// returns a [NoKeyError], [MalformedKeyError], [UnknownKeyError] or
// [WithdrawnKeyError] if the key is not valid.
func (v View) Verify(text string) (string, error) {
	key, err := ParseAPIKey(text)
	if err != nil {
		return "", err
	}
	hash := key.Hash()
	state, found := v.states[hash]
	// The map lookup is not constant-time, but it is by hash, so its timing tells
	// an attacker nothing about a secret. The comparison that decides is
	// constant-time.
	if !found || subtle.ConstantTimeCompare(state.Hash[:], hash[:]) != 1 {
		return "", &UnknownKeyError{}
	}
	if state.Withdrawn {
		return "", &WithdrawnKeyError{
			Team: state.Team,
		}
	}
	return state.Team, nil
}

// Age returns the time since ConfirmedAt.
func (v View) Age(now time.Time) time.Duration { return now.Sub(v.ConfirmedAt) }

// Len returns the number of keys, including withdrawn ones.
func (v View) Len() int { return len(v.states) }

// KeyStates returns the states of all keys, in no particular order, to be sent to
// other hosts.
func (v View) KeyStates() []KeyState {
	states := make([]KeyState, 0, len(v.states))
	for _, s := range v.states {
		states = append(states, s)
	}
	return states
}

// NewView returns a view with the key states that another host sent. The time
// confirmedAt must be on this host's clock.
func NewView(states []KeyState, version objectstore.Version, confirmedAt time.Time) View {
	v := View{
		states:      make(map[Hash]KeyState, len(states)),
		Version:     version,
		ConfirmedAt: confirmedAt,
	}
	for _, s := range states {
		mergeState(v.states, s)
	}
	return v
}

// mergeState stores the state of a key, unless the key is withdrawn already: states
// arrive in any order, and a withdrawal is permanent. A state without a team keeps
// the known team. Versions are not compared, since the only change of a key is its
// withdrawal.
func mergeState(states map[Hash]KeyState, s KeyState) {
	current, found := states[s.Hash]
	if found && current.Withdrawn {
		return
	}
	if found && s.Team == "" {
		s.Team = current.Team
	}
	states[s.Hash] = s
}

// ApplyChanges returns the view with the changes that a watch returned. This
// system never deletes records; if one is deleted anyway, its key counts as
// withdrawn.
//
// The argument confirmedAt is the time at which the watch request was sent, not
// that of its response: a withdrawal may have been accepted while the response was
// on its way.
func (v View) ApplyChanges(changes objectstore.VersionedObjects, confirmedAt time.Time) View {
	next := v.copy()
	for _, object := range changes.Objects {
		next.applyObject(object)
	}
	next.Version = max(v.Version, changes.Next)
	next.ConfirmedAt = laterOf(v.ConfirmedAt, confirmedAt)
	return next
}

// ApplyList returns the view updated by a full list of the store's records. A key
// that is not listed counts as withdrawn, unless its record is newer than all
// listed ones: then another host sent the key while the list was on its way.
//
// The argument confirmedAt is the time at which the list was requested.
func (v View) ApplyList(objects []objectstore.Object, confirmedAt time.Time) View {
	next := v.copy()
	listed := make(map[Hash]bool, len(objects))
	for _, object := range objects {
		if hash, isValid := next.applyObject(object); isValid {
			listed[hash] = true
		}
	}
	newest := newestVersion(objects)
	for hash, s := range next.states {
		if !listed[hash] && s.Version <= newest {
			s.Withdrawn = true
			next.states[hash] = s
		}
	}
	next.Version = max(v.Version, newest)
	next.ConfirmedAt = laterOf(v.ConfirmedAt, confirmedAt)
	return next
}

func newestVersion(objects []objectstore.Object) objectstore.Version {
	var newest objectstore.Version
	for _, object := range objects {
		newest = max(newest, object.Version)
	}
	return newest
}

// Merge returns a view with the keys of both views. Its Version and
// ConfirmedAt are the later ones of the two, and its CorruptObjects is that of v.
func (v View) Merge(other View) View {
	next := v.copy()
	for _, s := range other.states {
		mergeState(next.states, s)
	}
	next.Version = max(v.Version, other.Version)
	next.ConfirmedAt = laterOf(v.ConfirmedAt, other.ConfirmedAt)
	return next
}

func (v View) copy() View {
	next := v
	next.states = maps.Clone(v.states)
	if next.states == nil {
		next.states = make(map[Hash]KeyState)
	}
	return next
}

// applyObject applies an object of the store and returns the hash in its object
// key, or false if there is none. A record that cannot be decoded may be a
// withdrawal, so its key counts as withdrawn from then on.
func (v *View) applyObject(object objectstore.Object) (Hash, bool) {
	hash, err := ParseHash(strings.TrimPrefix(object.Key, KeyRecordPrefix))
	if err != nil {
		v.CorruptObjects++
		return Hash{}, false
	}
	record, err := ParseKeyRecord(object)
	if err != nil && !object.Deleted {
		v.CorruptObjects++
	}
	mergeState(v.states, KeyState{
		Hash:      hash,
		Team:      record.Team,
		Version:   object.Version,
		Withdrawn: err != nil || object.Deleted || !record.WithdrawnAt.IsZero(),
	})
	return hash, true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
