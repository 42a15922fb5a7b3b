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
	// runsPerDesign is how many runs each design makes.
	runsPerDesign = 20
	// tornReadInterval is the pause between two reads.
	tornReadInterval = 20 * time.Millisecond
	// tornEditsPerOperator is how many edits each of the two operators makes in a run.
	tornEditsPerOperator = 10
	// inPlaceObjectCount is how many objects an in-place table is spread over.
	inPlaceObjectCount = 3
)

// storageDesign is a way to keep a table in several objects.
type storageDesign interface {
	// applyEdit makes one edit, under a number that no other edit has; it says whether
	// the edit was made.
	edit(ctx context.Context, store *storeClient, number int) bool
	// readRows returns the numbers of the edits that the parts of the table come from.
	read(ctx context.Context, store *storeClient) []string
}

// inPlace overwrites several objects one after the other, each by conditional
// update.
type inPlace struct{}

func (inPlace) edit(ctx context.Context, store *storeClient, number int) bool {
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

func (inPlace) read(ctx context.Context, store *storeClient) []string {
	var numbers []string
	for i := range inPlaceObjectCount {
		object, _ := store.Get(ctx, fmt.Sprintf("in-place/%d", i))
		numbers = append(numbers, string(object.Value))
	}
	return numbers
}

// readTwice is inPlace with a reader that reads again until two readings agree.
type readTwice struct {
	inPlace
}

func (r readTwice) read(ctx context.Context, store *storeClient) []string {
	before := r.inPlace.read(ctx, store)
	for {
		after := r.inPlace.read(ctx, store)
		if fmt.Sprint(before) == fmt.Sprint(after) {
			return after
		}
		before = after
	}
}

// publishedAt is what the package does. An edit's number stands in the manifest,
// in the first part and in the part with blocks.
type publishedVersions struct{}

func (publishedVersions) edit(ctx context.Context, store *storeClient, number int) bool {
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

// tableWithNumber is a table whose only region is named for the number.
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

func (publishedVersions) read(ctx context.Context, store *storeClient) []string {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	if err != nil {
		return nil
	}
	return []string{string(snapshot.Manifest.EditID), snapshot.Table.Regions[0].Name, snapshot.Table.Blocks[0].Region}
}

// designStats is what a run of a design showed.
type designStats struct {
	edits int
	reads int
	torn  int
	// mixedAtEnd counts the runs that ended in a table of two edits, for good.
	mixedAtEnd int
	puts  int
	gets  int
}

func isTorn(numbers []string) bool {
	for _, n := range numbers {
		if n != numbers[0] {
			return true
		}
	}
	return false
}

// race lets two operators edit and a reader read at once.
func (f *designStats) run(t *testing.T, d storageDesign, seed uint64) {
	store := newStore()
	caller := func(n uint64) *storeClient {
		return &storeClient{
			shared: store.shared,
			seed:  10*seed + n,
		}
	}
	var mu sync.Mutex
	var operators, readers sync.WaitGroup
	for o := range uint64(2) {
		operators.Go(func() {
			own := caller(o + 1)
			for n := range tornEditsPerOperator {
				time.Sleep(readInterval)
				if d.edit(t.Context(), own, int(o)*tornEditsPerOperator+n+1) {
					mu.Lock()
					f.edits++
					mu.Unlock()
				}
			}
		})
	}
	end := make(chan struct{})
	readers.Go(func() {
		own := caller(3)
		for {
			select {
			case <-end:
				return
			default:
			}
			numbers := d.read(t.Context(), own)
			f.reads++
			if isTorn(numbers) {
				f.torn++
			}
			time.Sleep(tornReadInterval)
		}
	})
	operators.Wait()
	close(end)
	readers.Wait()
	f.puts, f.gets = f.puts+store.shared.puts, f.gets+store.shared.gets
	if isTorn(d.read(t.Context(), store)) {
		f.mixedAtEnd++
	}
}

// TestTornReads runs the three designs with the same seeds. Only published
// versions may show no table of two edits.
func TestPublishedVersionsHaveNoTornReads(t *testing.T) {
	figures := func(d storageDesign) designStats {
		f := designStats{}
		for seed := range uint64(runsPerDesign) {
			synctest.Test(t, func(t *testing.T) { f.run(t, d, seed+1) })
		}
		t.Logf("%T: %+v", d, f)
		return f
	}
	require.Positive(t, figures(inPlace{}).torn)
	require.Positive(t, figures(readTwice{}).torn)
	whole := figures(publishedVersions{})
	require.Zero(t, whole.torn)
	require.Zero(t, whole.mixedAtEnd)
	require.Positive(t, whole.reads)
}
