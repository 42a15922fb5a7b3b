package table_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// editsEach is how many edits each operator makes in one run.
const editsEach = 12

// seeds is how many runs each test of racing operators makes.
var seeds = flag.Int("seeds", 10, "randomised runs of each test of racing operators")

// baselineSeeds bounds the runs without the mechanism, which take longer.
const baselineSeeds = 3

// pruneSeeds bounds the runs with a pruner, which makes many calls.
const pruneSeeds = 20

// endedShare is the share of the processes that publish and end midway.
const endedShare = 0.2

// readPause is the reader's pause between two loads.
const readPause = 250 * time.Millisecond

// race is a run of two operators who edit the table over a bad network, while a
// reader follows it.
type race struct {
	store *client
	// forget hides from operators the edits that versions remember.
	forget bool

	mu sync.Mutex
	// sent counts the edits that hold, as their operators know, by team.
	sent map[string]int
	// unsure counts the sendings whose outcome stayed unknown, given up those that
	// ended because the operator's process did.
	unsure  int
	givenUp int
	random  *rand.Rand
	// prunes makes a pruner run along; deleted counts the parts that it deleted,
	// pruned the readings that came too late for their version.
	prunes  bool
	deleted int
	pruned  int
}

// operator makes its edits one after the other: it adds one to a team's rate.
// Its own team is edited by nobody else; the shared one is edited by both.
func (r *race) operator(t *testing.T, number int, seed uint64) {
	publisher := table.Publisher{
		Store: &client{
			store:     r.store.store,
			seed:      seed,
			lost:      0.3,
			late:      0.3,
			unreached: 0.2,
			forget:    r.forget,
		},
	}
	for n := range editsEach {
		name := fmt.Sprintf("own-%d", number)
		if n%3 == 0 {
			name = "shared"
		}
		r.edit(t, publisher, name, fmt.Sprintf("edit-%d-%d", number, n))
	}
}

// edit adds one to the team's rate, as an operator would: it makes a new edit of
// the newest table when told that nothing was published, and sends the same edit
// again when told that it may have been.
func (r *race) edit(t *testing.T, publisher table.Publisher, name, id string) {
	for start := 0; ; start++ {
		base := r.newest(t)
		edit := table.Edit{
			ID:        table.EditID(fmt.Sprintf("%s-%d", id, start)),
			Base:      base.Version,
			Table:     raise(base, name),
			AutoMerge: name != "shared",
		}
		if r.send(t, publisher, edit) {
			r.mu.Lock()
			r.sent[name]++
			r.mu.Unlock()
			return
		}
	}
}

// send sends an edit until its outcome is known, and says whether it holds.
func (r *race) send(t *testing.T, publisher table.Publisher, edit table.Edit) bool {
	unsure := false
	for {
		ctx, cancel := r.process(t.Context())
		_, err := publisher.Publish(ctx, edit)
		ended := ctx.Err() != nil
		cancel()
		var conflict *table.ConflictError
		var overlap *table.MergeConflictError
		var unsent *table.NotPublishedError
		var gone *table.VersionNotFoundError
		var unknown *table.UnknownOutcomeError
		switch {
		case ended:
			// Whoever runs the command again knows nothing of the first run.
			r.mu.Lock()
			r.givenUp++
			r.mu.Unlock()
			unsure = true
		case err == nil:
			return true
		case errors.As(err, &conflict), errors.As(err, &overlap), errors.As(err, &gone):
			return false
		case errors.As(err, &unknown):
			r.mu.Lock()
			r.unsure++
			r.mu.Unlock()
			unsure = true
		default:
			require.ErrorAs(t, err, &unsent)
			if !unsure {
				return false
			}
		}
	}
}

// process returns the context of a process that publishes; some end midway.
func (r *race) process(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.Float64() >= endedShare {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(r.random.Int64N(int64(300*time.Millisecond))))
}

func (r *race) newest(t *testing.T) table.Table {
	return load(t, r.store).Table
}

// prune deletes all but the version in force, over a bad network, until the end.
func (r *race) prune(t *testing.T, seed uint64, end <-chan struct{}) {
	pruner := table.Pruner{
		Store: &client{
			store:     r.store.store,
			seed:      seed,
			lost:      0.1,
			late:      0.1,
			unreached: 0.001,
		},
		KeepVersions: 1,
	}
	for {
		select {
		case <-end:
			return
		case <-time.After(readPause):
		}
		// Errors are those of the network; the next round goes on.
		found, _ := pruner.Prune(t.Context())
		r.deleted += found.DeletedParts
	}
}

// raise returns the table with one more on a team's rate.
func raise(t table.Table, name string) table.Table {
	for _, row := range t.Teams {
		if row.Name == name {
			after := row
			after.Rate++
			return table.ApplyChanges(t, []table.Change{
				table.Changed{
					Before: row,
					After:  after,
				},
			})
		}
	}
	return t
}

// follow offers what a reader loads over a bad network until the end.
func (r *race) follow(t *testing.T, seed uint64, follower *table.SnapshotTracker, end <-chan struct{}) {
	reader := table.Reader{}
	source := &client{
		store: r.store.store,
		seed:  seed,
	}
	last := table.Version(0)
	for {
		select {
		case <-end:
			return
		default:
		}
		snapshot, err := reader.Load(t.Context(), source)
		var pruned *objectstore.NotFoundError
		if errors.As(err, &pruned) {
			// The version was in force when its head was read, and is no longer.
			r.pruned++
			continue
		}
		require.NoError(t, err)
		require.NoError(t, table.Validate(snapshot.Table))
		follower.Update(snapshot)
		require.GreaterOrEqual(t, follower.Version(), last)
		last = follower.Version()
		time.Sleep(readPause)
	}
}

// run runs the race and returns by how much the rates exceed the edits that
// their operators know to hold; the edits of a lost rate count below zero.
func (r *race) run(t *testing.T, seed uint64) int {
	r.sent = make(map[string]int)
	r.random = rand.New(rand.NewPCG(seed, 0))
	start := parse(t, "kind,name,weight-accra,rate,burst\nregion,accra\nteam,own-1,,1,1\nteam,own-2,,1,1\nteam,shared,,1,1\n")
	publish(t, r.store, "start", 0, start)
	var follower table.SnapshotTracker
	end := make(chan struct{})
	var operators, readers sync.WaitGroup
	readers.Go(func() { r.follow(t, seed+2, &follower, end) })
	if r.prunes {
		readers.Go(func() { r.prune(t, seed+3, end) })
	}
	operators.Go(func() { r.operator(t, 1, seed) })
	operators.Go(func() { r.operator(t, 2, seed+1) })
	operators.Wait()
	time.Sleep(2 * time.Second)
	close(end)
	readers.Wait()
	// Writes of the pruner that take effect late.
	time.Sleep(2 * time.Second)
	require.Zero(t, follower.DuplicateVersionCount())
	excess := 0
	for _, row := range r.newest(t).Teams {
		difference := int(row.Rate) - 1 - r.sent[row.Name]
		require.GreaterOrEqual(t, difference, 0, "an edit of %s was lost", row.Name)
		excess += difference
	}
	return excess
}

// versionsOfOneEdit counts the versions beyond the first of each edit, and
// checks that versions are whole and count up by one.
func (r *race) versionsOfOneEdit(t *testing.T) int {
	history, err := table.History(t.Context(), r.store, 0)
	require.NoError(t, err)
	seen := make(map[table.EditID]bool)
	twice := 0
	for i, m := range history {
		require.Equal(t, table.Version(len(history)-i), m.Version)
		if seen[m.EditID] {
			twice++
		}
		seen[m.EditID] = true
	}
	return twice
}

// races runs the race with each seed and adds up its figures.
func races(t *testing.T, runs int, forget bool) (excess, twice, unsure, givenUp int) {
	versions := 0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			r := &race{
				store:  newStore(),
				forget: forget,
			}
			excess += r.run(t, 100*(seed+1))
			twice += r.versionsOfOneEdit(t)
			unsure += r.unsure
			givenUp += r.givenUp
			versions += int(load(t, r.store).Head.Version)
		})
	}
	t.Logf("%d runs: %d versions, %d edits applied twice, %d versions of an edit beyond its first, %d sendings of unknown outcome, %d given up",
		runs, versions, excess, twice, unsure, givenUp)
	return excess, twice, unsure, givenUp
}

// TestRacingOperators wants each edit to hold once, through lost answers, writes
// that take effect late, calls that do not arrive and operators' processes that
// end midway.
func TestRacingOperators(t *testing.T) {
	excess, twice, unsure, givenUp := races(t, *seeds, false)
	require.Zero(t, excess)
	require.Zero(t, twice)
	require.Positive(t, unsure, "no sending met an unknown outcome")
	require.Positive(t, givenUp, "no process ended midway")
}

// TestRacingOperatorsWithoutIdentifiers shows what the identifiers of edits are
// for: without them the same runs apply edits twice.
func TestRacingOperatorsWithoutIdentifiers(t *testing.T) {
	excess, _, _, _ := races(t, min(*seeds, baselineSeeds), true)
	require.Positive(t, excess)
}

// TestPruningAlongWithOperators wants the version in force to be whole at any
// moment while a pruner keeps no other.
func TestPruningAlongWithOperators(t *testing.T) {
	deleted, pruned := 0, 0
	for seed := range uint64(min(*seeds, pruneSeeds)) {
		synctest.Test(t, func(t *testing.T) {
			r := &race{
				store:  newStore(),
				prunes: true,
			}
			require.Zero(t, r.run(t, 100*(seed+1)))
			deleted += r.deleted
			pruned += r.pruned
		})
	}
	t.Logf("%d parts deleted, %d readings too late for their version", deleted, pruned)
	require.Positive(t, deleted)
}

// TestPrune keeps the versions it is told to keep, whole.
func TestPrune(t *testing.T) {
	store := newStore()
	for i := range 5 {
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), parse(t, replaced(",400,600,", fmt.Sprintf(",%d,600,", 100+i))))
	}
	pruner := table.Pruner{
		Store:        store,
		KeepVersions: 2,
	}
	pruned, err := pruner.Prune(t.Context())
	require.NoError(t, err)
	require.Equal(t, table.PruneResult{
		DeletedVersions: 3,
		DeletedParts:    3,
		OldestKept:      4,
	}, pruned)
	history, err := table.History(t.Context(), store, 0)
	require.NoError(t, err)
	require.Len(t, history, 2)
	_, err = table.ReadVersion(t.Context(), store, 4)
	require.NoError(t, err)
	_, err = table.ReadVersion(t.Context(), store, 3)
	var gone *table.VersionNotFoundError
	require.ErrorAs(t, err, &gone)
	require.ErrorContains(t, err, "accepted: 4 to 5")
}

// TestPruneWhileEarlierContentComesBack prunes after a publisher has written
// parts that an earlier version had, and before the head names them.
func TestPruneWhileEarlierContentComesBack(t *testing.T) {
	store := newStore()
	first := parse(t, small)
	publish(t, store, "a", 0, first)
	publish(t, store, "b", 1, parse(t, replaced(",400,600,", ",500,600,")))
	pruner := table.Pruner{
		Store:        store,
		KeepVersions: 1,
	}
	slow := &client{
		store: store.store,
		beforePut: func(key string) {
			if key == table.HeadKey {
				_, err := pruner.Prune(t.Context())
				require.NoError(t, err)
			}
		},
	}
	require.Equal(t, table.Version(3), publish(t, slow, "c", 2, first).Version)
	require.Empty(t, table.Diff(first, load(t, store).Table))
}
