package share

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerLimit is how many hosts hold a limit, if there are as many.
const OwnersPerLimit = 8

// Epoch numbers the allocations, from one. Zero is "none yet".
type Epoch uint64

// Allocation names the hosts that hold the limits. It is one object of the
// store, changed by conditional update.
type Allocation struct {
	Epoch Epoch `json:"epoch"`
	// Members is in the order of Identity.Host.
	Members []ProcessID `json:"holders"`
}

// Encode returns the allocation as it is stored.
func (a Allocation) Encode() ([]byte, error) {
	value, err := json.Marshal(a)
	if err != nil {
		return nil, &EncodingError{
			Cause: err,
		}
	}
	return value, nil
}

// DecodeAllocation reads a stored allocation, or returns an [EncodingError].
func DecodeAllocation(value []byte) (Allocation, error) {
	var a Allocation
	if err := json.Unmarshal(value, &a); err != nil {
		return Allocation{}, &EncodingError{
			Cause: err,
		}
	}
	return a, nil
}

// NextAllocation returns the allocation that follows the current one when these hosts
// live, and whether it differs. Of two incarnations of a host the newer holds.
func NextAllocation(current Allocation, live []ProcessID) (Allocation, bool) {
	newest := make(map[string]ProcessID, len(live))
	for _, i := range live {
		if known, ok := newest[i.Host]; !ok || known.Incarnation < i.Incarnation {
			newest[i.Host] = i
		}
	}
	next := Allocation{
		Epoch:   current.Epoch + 1,
		Members: make([]ProcessID, 0, len(newest)),
	}
	for _, i := range newest {
		next.Members = append(next.Members, i)
	}
	slices.SortFunc(next.Members, byHost)
	return next, len(next.Members) > 0 && !slices.Equal(next.Members, current.Members)
}

func byHost(a, b ProcessID) int { return cmp.Compare(a.Host, b.Host) }

// consentQuorum is how many holders must promise to confirm the epoch no more
// before its successor may be written.
func (a Allocation) consentQuorum() int { return (len(a.Members) + 1) / 2 }

// confirmQuorum is how many holders must confirm the epoch when the store
// cannot; it has a holder in common with every consent quorum.
func (a Allocation) confirmQuorum() int { return len(a.Members) - a.consentQuorum() + 1 }

// index returns the place of the holder, or -1.
func (a Allocation) index(identity ProcessID) int {
	place, found := slices.BinarySearchFunc(a.Members, identity, byHost)
	if !found || a.Members[place] != identity {
		return -1
	}
	return place
}

// homes picks the holders of limits. It remembers the hashes of an allocation.
type homes struct {
	holders []ProcessID
	hashes  []uint64
}

func newHomes(a Allocation) homes {
	h := homes{
		holders: a.Members,
		hashes:  make([]uint64, len(a.Members)),
	}
	for place, holder := range a.Members {
		h.hashes[place] = xxhash.Sum64String(holder.Host)
	}
	return h
}

type scored struct {
	score uint64
	place int
}

// of returns the home hosts of the limit, highest score first.
func (h homes) of(limit string) []ProcessID {
	best := make([]scored, 0, OwnersPerLimit+1)
	seed := xxhash.Sum64String(limit)
	for place, hash := range h.hashes {
		candidate := scored{
			score: mix(hash ^ seed),
			place: place,
		}
		if len(best) == OwnersPerLimit && candidate.score <= best[OwnersPerLimit-1].score {
			continue
		}
		best = insertScored(best, candidate)
	}
	picked := make([]ProcessID, len(best))
	for rank, b := range best {
		picked[rank] = h.holders[b.place]
	}
	return picked
}

func insertScored(best []scored, candidate scored) []scored {
	at, _ := slices.BinarySearchFunc(best, candidate.score, func(s scored, score uint64) int {
		return cmp.Compare(score, s.score)
	})
	best = slices.Insert(best, at, candidate)
	return best[:min(len(best), OwnersPerLimit)]
}

// mix is the finalizer of splitmix64: it spreads every input bit.
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
