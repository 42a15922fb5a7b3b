package globallimit

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// OwnersPerLimit is the number of members among which each limit is divided.
// With fewer members, all of them own the limit.
const OwnersPerLimit = 8

// Epoch numbers the allocations, starting at 1. Zero means that no allocation
// is known yet.
type Epoch uint64

// Allocation is the membership list of one epoch. It holds no shares: the owners
// of each limit and their equal shares follow from it by hashing. It is one object
// in the store, changed by conditional writes only.
type Allocation struct {
	Epoch Epoch `json:"epoch"`
	// Members is sorted by ProcessID.Host.
	Members []ProcessID `json:"holders"`
}

// Encode returns the allocation in the format in which it is stored. The error
// is an [EncodingError].
func (a Allocation) Encode() ([]byte, error) {
	value, err := json.Marshal(a)
	if err != nil {
		return nil, &EncodingError{
			Cause: err,
		}
	}
	return value, nil
}

// DecodeAllocation parses a stored allocation. The error is an [EncodingError].
func DecodeAllocation(value []byte) (Allocation, error) {
	var a Allocation
	if err := json.Unmarshal(value, &a); err != nil {
		return Allocation{}, &EncodingError{
			Cause: err,
		}
	}
	return a, nil
}

// NextAllocation returns the allocation that follows current when the live
// processes become its members, and reports whether the members differ from
// those of current. If live has several processes of one host, the one with the
// highest incarnation becomes the member.
func NextAllocation(current Allocation, live []ProcessID) (Allocation, bool) {
	newest := make(map[string]ProcessID, len(live))
	for _, id := range live {
		if known, ok := newest[id.Host]; !ok || known.Incarnation < id.Incarnation {
			newest[id.Host] = id
		}
	}
	next := Allocation{
		Epoch:   current.Epoch + 1,
		Members: make([]ProcessID, 0, len(newest)),
	}
	for _, id := range newest {
		next.Members = append(next.Members, id)
	}
	slices.SortFunc(next.Members, compareHosts)
	return next, len(next.Members) > 0 && !slices.Equal(next.Members, current.Members)
}

func compareHosts(a, b ProcessID) int { return cmp.Compare(a.Host, b.Host) }

// voteQuorum is the number of members that must vote for the next epoch before
// it may be written. A member that has voted no longer supports the current
// epoch.
func (a Allocation) voteQuorum() int { return (len(a.Members) + 1) / 2 }

// supportQuorum is the number of members that must support the epoch to confirm
// it while the store is unavailable. Every support quorum shares a member with
// every vote quorum.
func (a Allocation) supportQuorum() int { return len(a.Members) - a.voteQuorum() + 1 }

// index returns the position of the process in Members, or -1.
func (a Allocation) index(id ProcessID) int {
	i, found := slices.BinarySearchFunc(a.Members, id, compareHosts)
	if !found || a.Members[i] != id {
		return -1
	}
	return i
}

// ownerPicker selects the owners of each limit by rendezvous hashing. It caches
// the hashes of the members' host names.
type ownerPicker struct {
	members    []ProcessID
	hostHashes []uint64
}

func newOwnerPicker(a Allocation) ownerPicker {
	p := ownerPicker{
		members:    a.Members,
		hostHashes: make([]uint64, len(a.Members)),
	}
	for i, member := range a.Members {
		p.hostHashes[i] = xxhash.Sum64String(member.Host)
	}
	return p
}

type scoredMember struct {
	score uint64
	index int
}

// ownersOf returns the owners of the limit, highest score first.
func (p ownerPicker) ownersOf(limit string) []ProcessID {
	best := make([]scoredMember, 0, OwnersPerLimit+1)
	limitHash := xxhash.Sum64String(limit)
	for i, hash := range p.hostHashes {
		candidate := scoredMember{
			score: mixBits(hash ^ limitHash),
			index: i,
		}
		if len(best) == OwnersPerLimit && candidate.score <= best[OwnersPerLimit-1].score {
			continue
		}
		best = insertScored(best, candidate)
	}
	owners := make([]ProcessID, len(best))
	for i, scored := range best {
		owners[i] = p.members[scored.index]
	}
	return owners
}

func insertScored(best []scoredMember, candidate scoredMember) []scoredMember {
	position, _ := slices.BinarySearchFunc(best, candidate.score, func(s scoredMember, score uint64) int {
		return cmp.Compare(score, s.score)
	})
	best = slices.Insert(best, position, candidate)
	return best[:min(len(best), OwnersPerLimit)]
}

// mixBits is the finalizer of splitmix64: every input bit affects every output
// bit.
func mixBits(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
