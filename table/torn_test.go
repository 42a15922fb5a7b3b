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
	// tornSeeds is how many runs each design makes.
	tornSeeds = 20
	// tornPause is the pause between two reads.
	tornPause = 20 * time.Millisecond
	// tornEdits is how many edits each of the two operators makes in a run.
	tornEdits = 10
	// tornObjects is how many objects an in-place table is spread over.
	tornObjects = 3
)

// design is a way to keep a table in several objects.
type design interface {
	// edit makes one edit, under a number that no other edit has; it says whether
	// the edit was made.
	edit(ctx context.Context, store *client, number int) bool
	// read returns the numbers of the edits that the parts of the table come from.
	read(ctx context.Context, store *client) []string
}

// inPlace overwrites several objects one after the other, each by conditional
// update.
type inPlace struct{}

func (inPlace) edit(ctx context.Context, store *client, number int) bool {
	for i := range tornObjects {
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

func (inPlace) read(ctx context.Context, store *client) []string {
	var numbers []string
	for i := range tornObjects {
		object, _ := store.Get(ctx, fmt.Sprintf("in-place/%d", i))
		numbers = append(numbers, string(object.Value))
	}
	return numbers
}

// readTwice is inPlace with a reader that reads again until two readings agree.
type readTwice struct {
	inPlace
}

func (r readTwice) read(ctx context.Context, store *client) []string {
	before := r.inPlace.read(ctx, store)
	for {
		after := r.inPlace.read(ctx, store)
		if fmt.Sprint(before) == fmt.Sprint(after) {
			return after
		}
		before = after
	}
}

// published is what the package does. An edit's number stands in the manifest,
// in the first part and in the part with blocks.
type published struct{}

func (published) edit(ctx context.Context, store *client, number int) bool {
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
		Table: numbered(number),
	})
	var conflict *table.ConflictError
	return !errors.As(err, &conflict)
}

// numbered is a table whose only region is named for the number.
func numbered(number int) table.Table {
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

func (published) read(ctx context.Context, store *client) []string {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	if err != nil {
		return nil
	}
	return []string{string(snapshot.Manifest.EditID), snapshot.Table.Regions[0].Name, snapshot.Table.Blocks[0].Region}
}

// tornFigures is what a run of a design showed.
type tornFigures struct {
	edits int
	reads int
	torn  int
	// mixed counts the runs that ended in a table of two edits, for good.
	mixed int
	puts  int
	gets  int
}

func torn(numbers []string) bool {
	for _, n := range numbers {
		if n != numbers[0] {
			return true
		}
	}
	return false
}

// race lets two operators edit and a reader read at once.
func (f *tornFigures) race(t *testing.T, d design, seed uint64) {
	store := newStore()
	caller := func(n uint64) *client {
		return &client{
			store: store.store,
			seed:  10*seed + n,
		}
	}
	var mu sync.Mutex
	var operators, readers sync.WaitGroup
	for o := range uint64(2) {
		operators.Go(func() {
			own := caller(o + 1)
			for n := range tornEdits {
				time.Sleep(readPause)
				if d.edit(t.Context(), own, int(o)*tornEdits+n+1) {
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
			if torn(numbers) {
				f.torn++
			}
			time.Sleep(tornPause)
		}
	})
	operators.Wait()
	close(end)
	readers.Wait()
	f.puts, f.gets = f.puts+store.store.puts, f.gets+store.store.gets
	if torn(d.read(t.Context(), store)) {
		f.mixed++
	}
}

// TestTornReads runs the three designs with the same seeds. Only published
// versions may show no table of two edits.
func TestTornReads(t *testing.T) {
	figures := func(d design) tornFigures {
		f := tornFigures{}
		for seed := range uint64(tornSeeds) {
			synctest.Test(t, func(t *testing.T) { f.race(t, d, seed+1) })
		}
		t.Logf("%T: %+v", d, f)
		return f
	}
	require.Positive(t, figures(inPlace{}).torn)
	require.Positive(t, figures(readTwice{}).torn)
	whole := figures(published{})
	require.Zero(t, whole.torn)
	require.Zero(t, whole.mixed)
	require.Positive(t, whole.reads)
}
