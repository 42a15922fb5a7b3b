package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRanked is how many of the highest ranked servers of a key are kept. If none of them may
// be used, all servers are ranked again.
const maxRanked = 32

// maxRankings is the largest number of keys of a service for which rankings are kept.
const maxRankings = 4096

// rankingKey identifies the requests that have the same ranking.
type rankingKey struct {
	route       string
	affinityKey string
}

// keyRanking holds what depends only on an affinity key and the list of servers. It stays
// valid until servers are added, replaced or removed, while servers that drain, fail or
// become cold only need to be skipped.
type keyRanking struct {
	// homeFraction is compared with the local share of the route. The key is served in
	// this region if it is smaller.
	homeFraction float64
	// local and remote are the highest ranked servers of this region and of all others,
	// the highest first.
	local  []scoredServer
	remote []scoredServer
	// destinationsGeneration is that of the weights of regions by which remote is sorted.
	destinationsGeneration uint64
}

// ranking returns the ranking of the request's affinity key, which it computes if it is not
// known.
func (p *Pool) ranking(svc *serviceState, request *Request) *keyRanking {
	key := rankingKey{
		route:       request.Route,
		affinityKey: request.AffinityKey,
	}
	if known, isKnown := svc.rankings[key]; isKnown {
		return known
	}
	if svc.rankings == nil || len(svc.rankings) >= maxRankings {
		svc.rankings = make(map[rankingKey]*keyRanking)
	}
	computed := p.computeRanking(svc.servers, request.hashKey())
	svc.rankings[key] = computed
	return computed
}

// computeRanking ranks the servers for an affinity key.
func (p *Pool) computeRanking(servers []*server, key string) *keyRanking {
	var local, remote [maxRanked]scoredServer
	localCount, remoteCount := 0, 0
	hash := newKeyHash(key)
	for _, s := range servers {
		candidate := scoredServer{
			server: s,
			score:  hash.score(s.Name, s.Slots),
		}
		if s.Region == p.Region {
			localCount = insertRanked(&local, localCount, candidate)
		} else {
			remoteCount = insertRanked(&remote, remoteCount, candidate)
		}
	}
	return &keyRanking{
		homeFraction: HashFraction(homePrefix + key),
		local:        slices.Clone(local[:localCount]),
		remote:       slices.Clone(remote[:remoteCount]),
	}
}

// insertRanked inserts a server into the highest ranked ones, of which there are count, and
// returns their new number.
func insertRanked(ranked *[maxRanked]scoredServer, count int, candidate scoredServer) int {
	at := count
	for at > 0 && compareScores(candidate, ranked[at-1]) < 0 {
		at--
	}
	if at == maxRanked {
		return count
	}
	count = min(count+1, maxRanked)
	copy(ranked[at+1:count], ranked[at:count-1])
	ranked[at] = candidate
	return count
}

// scoredServer is a server with its score for an affinity key.
type scoredServer struct {
	server *server
	score  float64
}

// compareScores orders servers by their score, the highest first, and then by name.
func compareScores(a, b scoredServer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server.Name, b.server.Name))
}

// rankServers sorts the servers by their score for an affinity key, the highest
// first. All hosts compute the same order. A server that is added, drained or removed
// moves only the keys for which it has the highest scores, and servers with more slots get more
// keys.
func rankServers(key string, servers []*server) []scoredServer {
	hash := newKeyHash(key)
	ranked := make([]scoredServer, len(servers))
	for i, s := range servers {
		ranked[i] = scoredServer{
			server: s,
			score:  hash.score(s.Name, s.Slots),
		}
	}
	slices.SortFunc(ranked, compareScores)
	return ranked
}

// keyHash is the state of the hash after an affinity key, to which the names of servers are
// added in turn.
type keyHash struct{ digest xxhash.Digest }

func newKeyHash(key string) keyHash {
	var hash keyHash
	hash.digest.Reset()
	_, _ = hash.digest.WriteString(key)
	_, _ = hash.digest.WriteString("\x00")
	return hash
}

// score returns a server's score for the affinity key in weighted rendezvous hashing.
func (h *keyHash) score(server string, weight int) float64 {
	digest := h.digest
	_, _ = digest.WriteString(server)
	return -float64(weight) / math.Log(hashFraction(digest.Sum64()))
}

// HashFraction hashes a text to a number between 0 and 1, both excluded. The numbers
// are evenly distributed and the same on all hosts.
func HashFraction(text string) float64 {
	return hashFraction(xxhash.Sum64String(text))
}

func hashFraction(hash uint64) float64 {
	const bits = 53
	return (float64(hash>>(64-bits)) + 0.5) / (1 << bits)
}
