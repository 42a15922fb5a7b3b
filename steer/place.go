package steer

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Hash is the stable hash of what a request is about; requests with the same
// point go to the same region while the weights stand. One point should carry
// little traffic, since it moves between regions as a whole.
type RequestHash uint64

// HashRequest returns the point of a client's request for a path. The path is part
// of it, because a whole office may share one client address.
func HashRequest(team string, client netip.Addr, path string) RequestHash {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(team)
	bytes := client.As16()
	_, _ = digest.Write(bytes[:])
	_, _ = digest.WriteString(path)
	return RequestHash(digest.Sum64())
}

// PickRegion returns the point's region, empty if no region has weight. It is
// weighted rendezvous hashing: a point moves between two regions only if the
// ratio of their weights changes in favour of the second.
func (w Weights) PickRegion(point RequestHash) string {
	best := ""
	least := math.Inf(1)
	for _, x := range w {
		if x.Weight <= 0 {
			continue
		}
		score := -math.Log(unit(point, x.Region)) / x.Weight
		if score < least {
			best = x.Region
			least = score
		}
	}
	return best
}

// unit hashes the point and the region to a number in (0,1).
func unit(point RequestHash, region string) float64 {
	const mantissaBits = 53
	hash := mix(uint64(point) ^ xxhash.Sum64String(region))
	return (float64(hash>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
