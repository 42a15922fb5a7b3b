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

// blockAt returns the block of a number: one of the /24s from 16.0.0.0 on.
func blockAt(number int, region string) table.ClientBlock {
	address := uint32(0x10000000 + number<<8)
	return table.ClientBlock{
		Prefix: netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(address >> 24), byte(address >> 16), byte(address >> 8), 0}), 24),
		Region: region,
	}
}

// largeTable is a table with 4 regions, 200 routes, 1000 teams and the blocks.
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

var benchmarkSizes = []int{1_000, 31_000, 310_000}

func sizes(b *testing.B, run func(*testing.B, table.Table)) {
	for _, blocks := range benchmarkSizes {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			t := largeTable(blocks)
			b.ReportAllocs()
			run(b, t)
		})
	}
}

func BenchmarkParse(b *testing.B) {
	sizes(b, func(b *testing.B, t table.Table) {
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
	sizes(b, func(b *testing.B, t table.Table) {
		for b.Loop() {
			require.NoError(b, table.WriteCSV(&bytes.Buffer{}, t))
		}
	})
}

func publishOnce(b *testing.B, store *client, id string, base table.Version, t table.Table) {
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
	sizes(b, func(b *testing.B, t table.Table) {
		var store *client
		for b.Loop() {
			store = newStore()
			publishOnce(b, store, "first", 0, t)
		}
		b.ReportMetric(float64(store.store.written), "written-B")
		b.ReportMetric(float64(store.store.puts), "puts")
	})
}

// moveBlock gives one block another region.
func moveBlock(t table.Table, number int) {
	i := number % len(t.Blocks)
	t.Blocks[i].Region = t.Regions[(i+1+number/len(t.Blocks))%len(t.Regions)].Name
}

// BenchmarkPublishEdit changes one block of a published table.
func BenchmarkPublishEdit(b *testing.B) {
	sizes(b, func(b *testing.B, t table.Table) {
		store := newStore()
		publishOnce(b, store, "first", 0, t)
		written, puts := store.store.written, store.store.puts
		edits := 0
		for b.Loop() {
			edits++
			moveBlock(t, edits)
			publishOnce(b, store, fmt.Sprint(edits), table.Version(edits), t)
		}
		b.ReportMetric(float64(store.store.written-written)/float64(edits), "written-B/edit")
		b.ReportMetric(float64(store.store.puts-puts)/float64(edits), "puts/edit")
	})
}

// BenchmarkLoad loads a table whole, as a new host does.
func BenchmarkLoad(b *testing.B) {
	sizes(b, func(b *testing.B, t table.Table) {
		store := newStore()
		publishOnce(b, store, "first", 0, t)
		held := heldBy(b, store)
		loads, gets := 0, store.store.gets
		for b.Loop() {
			loads++
			reader := table.Reader{}
			_, err := reader.Load(context.Background(), store)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(store.store.gets-gets)/float64(loads), "gets")
		b.ReportMetric(held, "held-B")
	})
}

// heldBy returns what a host keeps in memory of a table.
func heldBy(b *testing.B, store *client) float64 {
	before := liveHeap()
	readers := make([]table.Reader, 4)
	for i := range readers {
		_, err := readers[i].Load(context.Background(), store)
		require.NoError(b, err)
	}
	held := liveHeap() - before
	runtime.KeepAlive(readers)
	return held / float64(len(readers))
}

// liveHeap collects twice: the first time, pools keep what they hold.
func liveHeap() float64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapAlloc)
}

// BenchmarkFollowEdit loads the version after an edit of one block.
func BenchmarkFollowEdit(b *testing.B) {
	sizes(b, func(b *testing.B, t table.Table) {
		store := newStore()
		publishOnce(b, store, "first", 0, t)
		reader := table.Reader{}
		_, err := reader.Load(context.Background(), store)
		require.NoError(b, err)
		edits, gets := 0, 0
		for b.Loop() {
			b.StopTimer()
			edits++
			moveBlock(t, edits)
			publishOnce(b, store, fmt.Sprint(edits), table.Version(edits), t)
			before := store.store.gets
			b.StartTimer()
			_, err := reader.Load(context.Background(), store)
			require.NoError(b, err)
			gets += store.store.gets - before
		}
		b.ReportMetric(float64(gets)/float64(edits), "gets/edit")
	})
}

// BenchmarkReadVersion reads the first of many versions.
func BenchmarkReadVersion(b *testing.B) {
	for _, versions := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("versions=%d", versions), func(b *testing.B) {
			store := newStore()
			t := largeTable(0)
			for i := range versions {
				publishOnce(b, store, fmt.Sprint(i), table.Version(i), t)
			}
			gets, reads := store.store.gets, 0
			for b.Loop() {
				reads++
				_, err := table.ReadVersion(context.Background(), store, 1)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(store.store.gets-gets)/float64(reads), "gets")
		})
	}
}
