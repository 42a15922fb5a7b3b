package table_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

const (
	// runsPerDesign is the number of runs of each storage design.
	runsPerDesign = 20
	// tornReadInterval is the time between two reads.
	tornReadInterval = 20 * time.Millisecond
	// tornEditsPerOperator is the number of edits that each of the two operators makes
	// in a run.
	tornEditsPerOperator = 10
	// inPlaceObjectCount is the number of objects that hold the table when it is
	// overwritten in place.
	inPlaceObjectCount = 3
)

// storageDesign is a way to store a table in several objects.
type storageDesign interface {
	// edit makes one edit with a unique number, and reports whether it was not rejected
	// because of a conflict.
	edit(ctx context.Context, store *storeClient, number int) bool
	// read returns, for each object of the table, the number of the edit that wrote it.
	// The numbers are equal unless the read is torn.
	read(ctx context.Context, store *storeClient) []string
}

// inPlaceDesign overwrites the objects of the table in sequence, each by a conditional
// update.
type inPlaceDesign struct{}

func (inPlaceDesign) edit(ctx context.Context, store *storeClient, number int) bool {
	for i := range inPlaceObjectCount {
		key := fmt.Sprintf("in-place/%d", i)
		for {
			object, err := store.Get(ctx, key)
			condition := objectstore.Condition(objectstore.IfVersion{
				Version: object.Version,
			})
			if err != nil {
				condition = objectstore.IfAbsent{}
			}
			if _, err = store.Put(ctx, key, []byte(strconv.Itoa(number)), condition); err == nil {
				break
			}
		}
	}
	return true
}

func (inPlaceDesign) read(ctx context.Context, store *storeClient) []string {
	var numbers []string
	for i := range inPlaceObjectCount {
		object, _ := store.Get(ctx, fmt.Sprintf("in-place/%d", i))
		numbers = append(numbers, string(object.Value))
	}
	return numbers
}

// readTwiceDesign is inPlaceDesign with a reader that reads all objects repeatedly until two
// successive reads agree.
type readTwiceDesign struct {
	inPlaceDesign
}

func (r readTwiceDesign) read(ctx context.Context, store *storeClient) []string {
	before := r.inPlaceDesign.read(ctx, store)
	for {
		after := r.inPlaceDesign.read(ctx, store)
		if fmt.Sprint(before) == fmt.Sprint(after) {
			return after
		}
		before = after
	}
}

// versionedDesign is the design of package table. The number of an edit is in the
// manifest, in the main part and in the part with client blocks.
type versionedDesign struct{}

func (versionedDesign) edit(ctx context.Context, store *storeClient, number int) bool {
	publisher := table.Publisher{
		Store: store,
	}
	reader := table.Reader{}
	base := table.Version(0)
	if snapshot, err := reader.Load(ctx, store); err == nil {
		base = snapshot.Head.Version
	}
	_, err := publisher.Publish(ctx, table.Edit{
		ID:    table.EditID(strconv.Itoa(number)),
		Base:  base,
		Table: tableWithNumber(number),
	})
	var conflict *table.ConflictError
	return !errors.As(err, &conflict)
}

// tableWithNumber returns a table whose only region has the number as its name.
func tableWithNumber(number int) table.Table {
	name := strconv.Itoa(number)
	return table.Table{
		Regions: []table.Region{
			{
				Name: name,
			},
		},
		Blocks: []table.ClientBlock{
			blockAt(0, name),
		},
	}
}

func (versionedDesign) read(ctx context.Context, store *storeClient) []string {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	if err != nil {
		return nil
	}
	return []string{string(snapshot.Manifest.EditID), snapshot.Table.Regions[0].Name, snapshot.Table.Blocks[0].Region}
}

// designStats counts the results of the runs of one storage design.
type designStats struct {
	edits int
	reads int
	torn  int
	// mixedAtEnd counts the runs after which the stored table is a permanent mix of two
	// edits.
	mixedAtEnd int
	puts       int
	gets       int
}

// isTorn reports whether a read returned objects of more than one edit.
func isTorn(numbers []string) bool {
	for _, n := range numbers {
		if n != numbers[0] {
			return true
		}
	}
	return false
}

// run runs two operators and a reader concurrently and adds to the counts.
func (s *designStats) run(t *testing.T, d storageDesign, seed uint64) {
	store := newStore()
	newClient := func(n uint64) *storeClient {
		return &storeClient{
			shared: store.shared,
			seed:   10*seed + n,
		}
	}
	var mu sync.Mutex
	var operators, readers sync.WaitGroup
	for o := range uint64(2) {
		operators.Go(func() {
			client := newClient(o + 1)
			for n := range tornEditsPerOperator {
				time.Sleep(pollInterval)
				if d.edit(t.Context(), client, int(o)*tornEditsPerOperator+n+1) {
					mu.Lock()
					s.edits++
					mu.Unlock()
				}
			}
		})
	}
	end := make(chan struct{})
	readers.Go(func() {
		client := newClient(3)
		for {
			select {
			case <-end:
				return
			default:
			}
			numbers := d.read(t.Context(), client)
			s.reads++
			if isTorn(numbers) {
				s.torn++
			}
			time.Sleep(tornReadInterval)
		}
	})
	operators.Wait()
	close(end)
	readers.Wait()
	s.puts, s.gets = s.puts+store.shared.puts, s.gets+store.shared.gets
	if isTorn(d.read(t.Context(), store)) {
		s.mixedAtEnd++
	}
}

// TestPublishedVersionsHaveNoTornReads runs three storage designs with the same seeds.
// A torn read returns objects of different edits, because an operator overwrites them
// while they are read. The designs that overwrite objects in place must show torn reads,
// even if the reader reads twice; published versions must show none.
func TestPublishedVersionsHaveNoTornReads(t *testing.T) {
	runDesign := func(d storageDesign) designStats {
		s := designStats{}
		for seed := range uint64(runsPerDesign) {
			synctest.Test(t, func(t *testing.T) { s.run(t, d, seed+1) })
		}
		t.Logf("%T: %+v", d, s)
		return s
	}
	require.Positive(t, runDesign(inPlaceDesign{}).torn)
	require.Positive(t, runDesign(readTwiceDesign{}).torn)
	published := runDesign(versionedDesign{})
	require.Zero(t, published.torn)
	require.Zero(t, published.mixedAtEnd)
	require.Positive(t, published.reads)
}
