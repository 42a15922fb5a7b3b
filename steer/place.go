package steer

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// RequestHash is a stable hash of a request's team, client and path. Requests
// with the same hash go to the same region while the weights stay the same.
// One hash should carry little traffic, because all of its traffic moves
// between regions at once.
type RequestHash uint64

// HashRequest returns the hash of a client's request for a path. The path is
// included because a whole office may share one client address.
func HashRequest(team string, client netip.Addr, path string) RequestHash {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(team)
	bytes := client.As16()
	_, _ = digest.Write(bytes[:])
	_, _ = digest.WriteString(path)
	return RequestHash(digest.Sum64())
}

// PickRegion returns the region for the hash, or an empty string if no region
// has weight. It uses weighted rendezvous hashing: a hash moves from one
// region to another only if the ratio of their weights changes in favour of
// the second.
func (w Weights) PickRegion(hash RequestHash) string {
	bestRegion := ""
	lowestScore := math.Inf(1)
	for _, x := range w {
		if x.Weight <= 0 {
			continue
		}
		score := -math.Log(hashToUnitInterval(hash, x.Region)) / x.Weight
		if score < lowestScore {
			bestRegion = x.Region
			lowestScore = score
		}
	}
	return bestRegion
}

// hashToUnitInterval hashes the request hash with the salt, which is the name
// of a region or evacuationSalt, to a number in the open interval (0,1).
func hashToUnitInterval(hash RequestHash, salt string) float64 {
	const mantissaBits = 53
	bits := mixBits(uint64(hash) ^ xxhash.Sum64String(salt))
	return (float64(bits>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mixBits spreads the entropy of a hash over all bits with the finalizer of
// splitmix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
