package apikey_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/objectstore"
)

// newViewOfSize returns a view with the keyCount of keys, and one of the keys.
func newViewOfSize(b *testing.B, keyCount int) (apikey.View, apikey.APIKey) {
	key, err := apikey.NewAPIKey(nil)
	require.NoError(b, err)
	states := []apikey.KeyState{
		{
			Hash: key.Hash(),
			Team: "north-chain",
		},
	}
	for i := range keyCount - 1 {
		var hash apikey.Hash
		binary.BigEndian.PutUint64(hash[:], uint64(i+1))
		states = append(states, apikey.KeyState{
			Hash: hash,
			Team: "north-chain",
		})
	}
	return apikey.NewView(states, 1, noon), key
}

// benchmarkSizes are the numbers of keys in a view.
var benchmarkSizes = []int{100, 10_000, 100_000}

func BenchmarkVerify(b *testing.B) {
	for _, keyCount := range benchmarkSizes {
		b.Run(fmt.Sprintf("keys=%d", keyCount), func(b *testing.B) {
			view, key := newViewOfSize(b, keyCount)
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

// BenchmarkApplyChanges applies one change to a view.
func BenchmarkApplyChanges(b *testing.B) {
	for _, keyCount := range benchmarkSizes {
		b.Run(fmt.Sprintf("keys=%d", keyCount), func(b *testing.B) {
			var set apikey.KeySet
			view, key := newViewOfSize(b, keyCount)
			set.Merge(view)
			changes := objectstore.VersionedObjects{
				Objects: []objectstore.Object{
					{
						Key:     apikey.ObjectKey(key.Hash()),
						Deleted: true,
					},
				},
			}
			for b.Loop() {
				set.ApplyChanges(changes, noon)
			}
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc)/float64(keyCount), "heap-B/key")
			runtime.KeepAlive(&set)
		})
	}
}
