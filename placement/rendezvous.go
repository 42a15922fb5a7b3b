package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scoredServer is a server with its score for an affinity key.
type scoredServer struct {
	server *server
	score  float64
}

// rankServers sorts the servers by their score for an affinity key, the highest
// first. All hosts compute the same order. A server that is added, drained or removed
// moves only the keys for which it has the highest scores, and servers with more slots get more
// keys.
func rankServers(key string, servers []*server) []scoredServer {
	ranked := make([]scoredServer, len(servers))
	for i, s := range servers {
		ranked[i] = scoredServer{
			server: s,
			score:  score(key, s.Name, s.Slots),
		}
	}
	slices.SortFunc(ranked, func(a, b scoredServer) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server.Name, b.server.Name))
	})
	return ranked
}

// score returns a server's score for an affinity key in weighted rendezvous hashing.
func score(key, server string, weight int) float64 {
	return -float64(weight) / math.Log(HashFraction(key+"\x00"+server))
}

// HashFraction hashes a text to a number between 0 and 1, both excluded. The numbers
// are evenly distributed and the same on all hosts.
func HashFraction(text string) float64 {
	const bits = 53
	return (float64(xxhash.Sum64String(text)>>(64-bits)) + 0.5) / (1 << bits)
}
