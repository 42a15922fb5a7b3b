package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is a server with its score for an object.
type ranked struct {
	server *server
	score  float64
}

// rank orders the servers by how well they suit the object, the best first. All
// hosts find the same order, and a server that comes or goes moves only the
// objects that are best placed on it. Servers with more slots get more objects.
func rank(object string, servers []*server) []ranked {
	order := make([]ranked, len(servers))
	for i, s := range servers {
		order[i] = ranked{
			server: s,
			score:  score(object, s.Name, s.Slots),
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server.Name, b.server.Name))
	})
	return order
}

// score is higher for a server that suits the object better: weighted rendezvous
// hashing.
func score(object, server string, weight int) float64 {
	return -float64(weight) / math.Log(HashFraction(object+"\x00"+server))
}

// HashFraction maps a text to a number between 0 and 1, evenly, on all hosts alike.
func HashFraction(text string) float64 {
	const bits = 53
	return (float64(xxhash.Sum64String(text)>>(64-bits)) + 0.5) / (1 << bits)
}
