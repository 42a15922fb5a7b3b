package table_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/table"
)

// blockAt returns a client block whose prefix is the given /24, counted from 16.0.0.0.
func blockAt(number int, region string) table.ClientBlock {
	address := uint32(0x10000000 + number<<8)
	return table.ClientBlock{
		Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), 0}), 24),
		Region: region,
	}
}

// largeTable returns a table with 4 regions, 200 routes, 1000 teams and the given
// number of client blocks.
func largeTable(blocks int) table.Table {
	var t table.Table
	for i := range 4 {
		t.Regions = append(t.Regions, table.Region{
			Name: fmt.Sprintf("region-%d", i),
		})
	}
	for i := range 200 {
		t.Routes = append(t.Routes, table.Route{
			Name:        fmt.Sprintf("route-%d", i),
			Path:        fmt.Sprintf("/route-%d", i),
			Service:     "storefront",
			Access:      table.KeyRequired,
			RetryPolicy: table.Idempotent,
			Weights: []table.Weight{
				{
					Region: "region-0",
					Weight: 1,
				},
			},
		})
	}
	for i := range 1000 {
		t.Teams = append(t.Teams, table.Team{
			Name:   fmt.Sprintf("team-%d", i),
			Rate:   100,
			Burst:  200,
			Weight: 1,
		})
	}
	for i := range blocks {
		t.Blocks = append(t.Blocks, blockAt(i, t.Regions[i%4].Name))
	}
	return t
}

// benchmarkSizes are the numbers of client blocks of the benchmarked tables.
var benchmarkSizes = []int{1_000, 31_000, 310_000}

// forEachSize runs a benchmark with a table of each number of client blocks.
func forEachSize(b *testing.B, run func(*testing.B, table.Table)) {
	for _, blocks := range benchmarkSizes {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			t := largeTable(blocks)
			b.ReportAllocs()
			run(b, t)
		})
	}
}

func BenchmarkParse(b *testing.B) {
	forEachSize(b, func(b *testing.B, t table.Table) {
		var text bytes.Buffer
		require.NoError(b, table.WriteCSV(&text, t))
		b.ReportMetric(float64(text.Len()), "file-B")
		for b.Loop() {
			_, err := table.ParseCSV(bytes.NewReader(text.Bytes()))
			require.NoError(b, err)
		}
	})
}

func BenchmarkWrite(b *testing.B) {
	forEachSize(b, func(b *testing.B, t table.Table) {
		for b.Loop() {
			require.NoError(b, table.WriteCSV(&bytes.Buffer{}, t))
		}
	})
}

func mustPublish(b *testing.B, store *storeClient, id string, base table.Version, t table.Table) {
	publisher := table.Publisher{
		Store: store,
	}
	_, err := publisher.Publish(context.Background(), table.Edit{
		ID:    table.EditID(id),
		Base:  base,
		Table: t,
	})
	require.NoError(b, err)
}

func BenchmarkPublishFirst(b *testing.B) {
	forEachSize(b, func(b *testing.B, t table.Table) {
		var store *storeClient
		for b.Loop() {
			store = newStore()
			mustPublish(b, store, "first", 0, t)
		}
		b.ReportMetric(float64(store.shared.writtenBytes), "written-B")
		b.ReportMetric(float64(store.shared.puts), "puts")
	})
}

// moveBlock changes the region of one block. Consecutive numbers change consecutive
// blocks, and start again after the last block.
func moveBlock(t table.Table, number int) {
	i := number % len(t.Blocks)
	t.Blocks[i].Region = t.Regions[(i+1+number/len(t.Blocks))%len(t.Regions)].Name
}

// BenchmarkPublishEdit publishes edits of one block.
func BenchmarkPublishEdit(b *testing.B) {
	forEachSize(b, func(b *testing.B, t table.Table) {
		store := newStore()
		mustPublish(b, store, "first", 0, t)
		written, puts := store.shared.writtenBytes, store.shared.puts
		edits := 0
		for b.Loop() {
			edits++
			moveBlock(t, edits)
			mustPublish(b, store, fmt.Sprint(edits), table.Version(edits), t)
		}
		b.ReportMetric(float64(store.shared.writtenBytes-written)/float64(edits), "written-B/edit")
		b.ReportMetric(float64(store.shared.puts-puts)/float64(edits), "puts/edit")
	})
}

// BenchmarkLoad loads a complete table, as a host does after it starts.
func BenchmarkLoad(b *testing.B) {
	forEachSize(b, func(b *testing.B, t table.Table) {
		store := newStore()
		mustPublish(b, store, "first", 0, t)
		memory := memoryPerReader(b, store)
		loads, gets := 0, store.shared.gets
		for b.Loop() {
			loads++
			reader := table.Reader{}
			_, err := reader.Load(context.Background(), store)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(store.shared.gets-gets)/float64(loads), "gets")
		b.ReportMetric(memory, "held-B")
	})
}

// memoryPerReader returns the heap memory in bytes that a host needs for a table.
func memoryPerReader(b *testing.B, store *storeClient) float64 {
	before := liveHeap()
	readers := make([]table.Reader, 4)
	for i := range readers {
		_, err := readers[i].Load(context.Background(), store)
		require.NoError(b, err)
	}
	growth := liveHeap() - before
	runtime.KeepAlive(readers)
	return growth / float64(len(readers))
}

// liveHeap returns the bytes of live heap objects. It collects garbage twice, because a
// sync.Pool keeps its objects through the first collection.
func liveHeap() float64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// BenchmarkLoadAfterEdit loads a new version after an edit of one block, with a reader
// that has loaded the version before.
func BenchmarkLoadAfterEdit(b *testing.B) {
	forEachSize(b, func(b *testing.B, t table.Table) {
		store := newStore()
		mustPublish(b, store, "first", 0, t)
		reader := table.Reader{}
		_, err := reader.Load(context.Background(), store)
		require.NoError(b, err)
		edits, gets := 0, 0
		for b.Loop() {
			b.StopTimer()
			edits++
			moveBlock(t, edits)
			mustPublish(b, store, fmt.Sprint(edits), table.Version(edits), t)
			before := store.shared.gets
			b.StartTimer()
			_, err := reader.Load(context.Background(), store)
			require.NoError(b, err)
			gets += store.shared.gets - before
		}
		b.ReportMetric(float64(gets)/float64(edits), "gets/edit")
	})
}

// BenchmarkReadVersion reads the oldest of many versions.
func BenchmarkReadVersion(b *testing.B) {
	for _, versions := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			store := newStore()
			t := largeTable(0)
			for i := range versions {
				mustPublish(b, store, fmt.Sprint(i), table.Version(i), t)
			}
			gets, reads := store.shared.gets, 0
			for b.Loop() {
				reads++
				_, err := table.LoadEarlierVersion(context.Background(), store, 1)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(store.shared.gets-gets)/float64(reads), "gets")
		})
	}
}
