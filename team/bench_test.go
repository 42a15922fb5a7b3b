package team_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/team"
)

// manyKeys is a view of the number of keys, and one of them.
func manyKeys(b *testing.B, number int) (team.View, team.APIKey) {
	key, err := team.NewAPIKey(nil)
	require.NoError(b, err)
	standings := []team.KeyState{
		{
			Hash: key.Hash(),
			Team: "north-chain",
		},
	}
	for i := range number - 1 {
		var hash team.Hash
		binary.BigEndian.PutUint64(hash[:], uint64(i+1))
		standings = append(standings, team.KeyState{
			Hash: hash,
			Team: "north-chain",
		})
	}
	return team.NewView(standings, 1, noon), key
}

var benchmarkSizes = []int{100, 10_000, 100_000}

func BenchmarkVerify(b *testing.B) {
	for _, number := range benchmarkSizes {
		b.Run(fmt.Sprintf("keys=%d", number), func(b *testing.B) {
			view, key := manyKeys(b, number)
			text := key.Reveal()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := view.Verify(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkUpdate takes in one change.
func BenchmarkUpdate(b *testing.B) {
	for _, number := range benchmarkSizes {
		b.Run(fmt.Sprintf("keys=%d", number), func(b *testing.B) {
			var holder team.KeySet
			view, key := manyKeys(b, number)
			holder.Merge(view)
			changes := objectstore.Changes{
				Objects: []objectstore.Object{
					{
						Key:     team.ObjectKey(key.Hash()),
						Deleted: true,
					},
				},
			}
			for b.Loop() {
				holder.ApplyChanges(changes, noon)
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc)/float64(number), "heap-B/key")
			runtime.KeepAlive(&holder)
		})
	}
}
