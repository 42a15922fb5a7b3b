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

// editsPerOperator is how many edits each operator makes in one run.
const editsPerOperator = 12

// seeds is how many runs each test of racing operators makes.
var seeds = flag.Int("seeds", 10, "randomised runs of each test of racing operators")

// baselineSeeds bounds the runs without the mechanism, which take longer.
const maxSeedsWithoutIDs = 3

// pruneSeeds bounds the runs with a pruner, which makes many calls.
const maxPruneSeeds = 20

// interruptedShare is the share of the processes that publish and end midway.
const interruptedShare = 0.2

// readInterval is the reader's pause between two loads.
const readInterval = 250 * time.Millisecond

// editSimulation is a run of two operators who edit the table over a bad network, while a
// reader follows it.
type editSimulation struct {
	store *storeClient
	// forget hides from operators the edits that versions remember.
	hideRecentEdits bool

	mu sync.Mutex
	// confirmedEdits counts the edits that hold, as their operators know, by team.
	confirmedEdits map[string]int
	// unknownOutcomes counts the sendings whose outcome stayed unknown, given up those that
	// ended because the operator's process did.
	unknownOutcomes  int
	interruptedAttempts int
	random  *rand.Rand
	// withPruner makes a pruner run along; deleted counts the parts that it deleted,
	// pruned the readings that came too late for their version.
	withPruner  bool
	deletedParts int
	prunedReads  int
}

// runOperator makes its edits one after the other: it adds one to a team's rate.
// Its own team is edited by nobody else; the shared one is edited by both.
func (r *editSimulation) runOperator(t *testing.T, number int, seed uint64) {
	publisher := table.Publisher{
		Store: &storeClient{
			shared:     r.store.shared,
			seed:      seed,
			lostResponseShare:      0.3,
			lateWriteShare:      0.3,
			unreachedShare: 0.2,
			hideRecentEdits:    r.hideRecentEdits,
		},
	}
	for n := range editsPerOperator {
		name := fmt.Sprintf("own-%d", number)
		if n%3 == 0 {
			name = "shared"
		}
		r.applyEdit(t, publisher, name, fmt.Sprintf("edit-%d-%d", number, n))
	}
}

// edit adds one to the team's rate, as an operator would: it makes a new edit of
// the newest table when told that nothing was published, and sends the same edit
// again when told that it may have been.
func (r *editSimulation) applyEdit(t *testing.T, publisher table.Publisher, name, id string) {
	for start := 0; ; start++ {
		base := r.currentTable(t)
		edit := table.Edit{
			ID:        table.EditID(fmt.Sprintf("%s-%d", id, start)),
			Base:      base.Version,
			Table:     incrementRate(base, name),
			AutoMerge: name != "shared",
		}
		if r.publishUntilKnown(t, publisher, edit) {
			r.mu.Lock()
			r.confirmedEdits[name]++
			r.mu.Unlock()
			return
		}
	}
}

// send sends an edit until its outcome is known, and says whether it holds.
func (r *editSimulation) publishUntilKnown(t *testing.T, publisher table.Publisher, edit table.Edit) bool {
	unsure := false
	for {
		ctx, cancel := r.processContext(t.Context())
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
			r.interruptedAttempts++
			r.mu.Unlock()
			unsure = true
		case err == nil:
			return true
		case errors.As(err, &conflict), errors.As(err, &overlap), errors.As(err, &gone):
			return false
		case errors.As(err, &unknown):
			r.mu.Lock()
			r.unknownOutcomes++
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

// processContext returns the context of a process that publishes; some end midway.
func (r *editSimulation) processContext(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.Float64() >= interruptedShare {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(r.random.Int64N(int64(300*time.Millisecond))))
}

func (r *editSimulation) currentTable(t *testing.T) table.Table {
	return load(t, r.store).Table
}

// prune deletes all but the version in force, over a bad network, until the end.
func (r *editSimulation) runPruner(t *testing.T, seed uint64, end <-chan struct{}) {
	pruner := table.Pruner{
		Store: &storeClient{
			shared:     r.store.shared,
			seed:      seed,
			lostResponseShare:      0.1,
			lateWriteShare:      0.1,
			unreachedShare: 0.001,
		},
		KeepVersions: 1,
	}
	for {
		select {
		case <-end:
			return
		case <-time.After(readInterval):
		}
		// Errors are those of the network; the next round goes on.
		found, _ := pruner.Prune(t.Context())
		r.deletedParts += found.DeletedParts
	}
}

// incrementRate returns the table with one more on a team's rate.
func incrementRate(t table.Table, name string) table.Table {
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
func (r *editSimulation) runReader(t *testing.T, seed uint64, follower *table.SnapshotTracker, end <-chan struct{}) {
	reader := table.Reader{}
	source := &storeClient{
		shared: r.store.shared,
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
			r.prunedReads++
			continue
		}
		require.NoError(t, err)
		require.NoError(t, table.Validate(snapshot.Table))
		follower.Update(snapshot)
		require.GreaterOrEqual(t, follower.Version(), last)
		last = follower.Version()
		time.Sleep(readInterval)
	}
}

// run runs the race and returns by how much the rates exceed the edits that
// their operators know to hold; the edits of a lost rate count below zero.
func (r *editSimulation) run(t *testing.T, seed uint64) int {
	r.confirmedEdits = make(map[string]int)
	r.random = rand.New(rand.NewPCG(seed, 0))
	start := parseTable(t, "kind,name,weight-accra,rate,burst\nregion,accra\nteam,own-1,,1,1\nteam,own-2,,1,1\nteam,shared,,1,1\n")
	publish(t, r.store, "start", 0, start)
	var follower table.SnapshotTracker
	end := make(chan struct{})
	var operators, readers sync.WaitGroup
	readers.Go(func() { r.runReader(t, seed+2, &follower, end) })
	if r.withPruner {
		readers.Go(func() { r.runPruner(t, seed+3, end) })
	}
	operators.Go(func() { r.runOperator(t, 1, seed) })
	operators.Go(func() { r.runOperator(t, 2, seed+1) })
	operators.Wait()
	time.Sleep(2 * time.Second)
	close(end)
	readers.Wait()
	// Writes of the pruner that take effect late.
	time.Sleep(2 * time.Second)
	require.Zero(t, follower.DuplicateVersionCount())
	excess := 0
	for _, row := range r.currentTable(t).Teams {
		difference := int(row.Rate) - 1 - r.confirmedEdits[row.Name]
		require.GreaterOrEqual(t, difference, 0, "an edit of %s was lost", row.Name)
		excess += difference
	}
	return excess
}

// countRepeatedEdits counts the versions beyond the first of each edit, and
// checks that versions are whole and count up by one.
func (r *editSimulation) countRepeatedEdits(t *testing.T) int {
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
func runSimulations(t *testing.T, runs int, forget bool) (excess, twice, unsure, givenUp int) {
	versions := 0
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			r := &editSimulation{
				store:  newStore(),
				hideRecentEdits: forget,
			}
			excess += r.run(t, 100*(seed+1))
			twice += r.countRepeatedEdits(t)
			unsure += r.unknownOutcomes
			givenUp += r.interruptedAttempts
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
func TestConcurrentEditsApplyExactlyOnce(t *testing.T) {
	excess, twice, unsure, givenUp := runSimulations(t, *seeds, false)
	require.Zero(t, excess)
	require.Zero(t, twice)
	require.Positive(t, unsure, "no sending met an unknown outcome")
	require.Positive(t, givenUp, "no process ended midway")
}

// TestRacingOperatorsWithoutIdentifiers shows what the identifiers of edits are
// for: without them the same runs apply edits twice.
func TestConcurrentEditsWithoutIDsApplyTwice(t *testing.T) {
	excess, _, _, _ := runSimulations(t, min(*seeds, maxSeedsWithoutIDs), true)
	require.Positive(t, excess)
}

// TestPruningAlongWithOperators wants the version in force to be whole at any
// moment while a pruner keeps no other.
func TestPruneKeepsCurrentVersionDuringEdits(t *testing.T) {
	deleted, pruned := 0, 0
	for seed := range uint64(min(*seeds, maxPruneSeeds)) {
		synctest.Test(t, func(t *testing.T) {
			r := &editSimulation{
				store:  newStore(),
				withPruner: true,
			}
			require.Zero(t, r.run(t, 100*(seed+1)))
			deleted += r.deletedParts
			pruned += r.prunedReads
		})
	}
	t.Logf("%d parts deleted, %d readings too late for their version", deleted, pruned)
	require.Positive(t, deleted)
}

// TestPruneKeepsLatestVersions keeps the versions it is told to keep, whole.
func TestPruneKeepsLatestVersions(t *testing.T) {
	store := newStore()
	for i := range 5 {
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), parseTable(t, smallTableWith(",400,600,", fmt.Sprintf(",%d,600,", 100+i))))
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
func TestPruneKeepsPartsWrittenBeforeHeadUpdate(t *testing.T) {
	store := newStore()
	first := parseTable(t, smallTable)
	publish(t, store, "a", 0, first)
	publish(t, store, "b", 1, parseTable(t, smallTableWith(",400,600,", ",500,600,")))
	pruner := table.Pruner{
		Store:        store,
		KeepVersions: 1,
	}
	slow := &storeClient{
		shared: store.shared,
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
