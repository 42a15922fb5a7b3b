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

// editsPerOperator is the number of edits that each operator makes in one run.
const editsPerOperator = 12

// runs is the number of runs of each test with concurrent operators; each run has its
// own seed.
var runs = flag.Int("seeds", 10, "number of randomized runs of each test with concurrent operators")

// maxRunsWithoutIDs limits the runs without the recognition of edit IDs, which take
// longer.
const maxRunsWithoutIDs = 3

// maxPruneRuns limits the runs with a pruner, which makes many calls.
const maxPruneRuns = 20

// interruptedProbability is the probability that a publishing process is given a time
// limit, which may interrupt it before it finishes.
const interruptedProbability = 0.2

// pollInterval is the delay between two loads, two prunes, or two edits.
const pollInterval = 250 * time.Millisecond

// editSimulation is a run in which two operators edit the table over an unreliable
// network while a reader loads each version.
type editSimulation struct {
	store *storeClient
	// hideRecentEdits hides the recent edits of the head from the operators.
	hideRecentEdits bool

	mu sync.Mutex
	// confirmedEdits counts by team the edits that operators know to be published.
	confirmedEdits map[string]int
	// unknownOutcomes counts the calls of Publish that ended with an unknown outcome,
	// interruptedAttempts those whose process was interrupted.
	unknownOutcomes     int
	interruptedAttempts int
	random              *rand.Rand
	// withPruner runs a pruner at the same time. deletedParts counts the parts that it
	// deleted, prunedReads the loads that failed because their version was pruned.
	withPruner   bool
	deletedParts int
	prunedReads  int
}

// runOperator makes the edits of one operator in sequence. Each edit adds 1 to the rate
// of a team: either the operator's own team, which nobody else edits, or the shared
// team, which both operators edit.
func (r *editSimulation) runOperator(t *testing.T, number int, seed uint64) {
	publisher := table.Publisher{
		Store: &storeClient{
			shared:                  r.store.shared,
			seed:                    seed,
			lostResponseProbability: 0.3,
			lateWriteProbability:    0.3,
			unreachedProbability:    0.2,
			hideRecentEdits:         r.hideRecentEdits,
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

// applyEdit adds 1 to the team's rate as an operator does: if nothing was published, it
// makes a new edit of the current table; if the outcome is unknown, it publishes the
// same edit again.
func (r *editSimulation) applyEdit(t *testing.T, publisher table.Publisher, name, id string) {
	for attempt := 0; ; attempt++ {
		base := r.currentTable(t)
		edit := table.Edit{
			ID:        table.EditID(fmt.Sprintf("%s-%d", id, attempt)),
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

// publishUntilKnown publishes an edit repeatedly until its outcome is known, and
// reports whether it was published.
func (r *editSimulation) publishUntilKnown(t *testing.T, publisher table.Publisher, edit table.Edit) bool {
	maybePublished := false
	for {
		ctx, cancel := r.processContext(t.Context())
		_, err := publisher.Publish(ctx, edit)
		interrupted := ctx.Err() != nil
		cancel()
		var conflict *table.ConflictError
		var mergeConflict *table.MergeConflictError
		var notPublished *table.NotPublishedError
		var notFound *table.VersionNotFoundError
		var unknown *table.UnknownOutcomeError
		switch {
		case interrupted:
			// The operator runs the command again without knowing the outcome.
			r.mu.Lock()
			r.interruptedAttempts++
			r.mu.Unlock()
			maybePublished = true
		case err == nil:
			return true
		case errors.As(err, &conflict), errors.As(err, &mergeConflict), errors.As(err, &notFound):
			return false
		case errors.As(err, &unknown):
			r.mu.Lock()
			r.unknownOutcomes++
			r.mu.Unlock()
			maybePublished = true
		default:
			require.ErrorAs(t, err, &notPublished)
			if !maybePublished {
				return false
			}
		}
	}
}

// processContext returns the context of a publishing process; a share of the contexts
// end after up to 300 ms.
func (r *editSimulation) processContext(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.random.Float64() >= interruptedProbability {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(r.random.Int64N(int64(300*time.Millisecond))))
}

func (r *editSimulation) currentTable(t *testing.T) table.Table {
	return load(t, r.store).Table
}

// runPruner repeatedly deletes all versions except the current one over an unreliable
// network, until end is closed.
func (r *editSimulation) runPruner(t *testing.T, seed uint64, end <-chan struct{}) {
	pruner := table.Pruner{
		Store: &storeClient{
			shared:                  r.store.shared,
			seed:                    seed,
			lostResponseProbability: 0.1,
			lateWriteProbability:    0.1,
			unreachedProbability:    0.001,
		},
		KeepVersions: 1,
	}
	for {
		select {
		case <-end:
			return
		case <-time.After(pollInterval):
		}
		// Network errors are ignored; the next call deletes what is left.
		result, _ := pruner.Prune(t.Context())
		r.deletedParts += result.DeletedParts
	}
}

// incrementRate returns the table with 1 added to the rate of a team.
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

// runReader repeatedly loads the table over a network with random delays and updates the
// tracker, until end is closed.
func (r *editSimulation) runReader(t *testing.T, seed uint64, tracker *table.SnapshotTracker, end <-chan struct{}) {
	reader := table.Reader{}
	source := &storeClient{
		shared: r.store.shared,
		seed:   seed,
	}
	last := table.Version(0)
	for {
		select {
		case <-end:
			return
		default:
		}
		snapshot, err := reader.Load(t.Context(), source)
		var notFound *objectstore.NotFoundError
		if errors.As(err, &notFound) {
			// The version was replaced and pruned after its head was read.
			r.prunedReads++
			continue
		}
		require.NoError(t, err)
		require.NoError(t, table.Validate(snapshot.Table))
		tracker.Update(snapshot)
		require.GreaterOrEqual(t, tracker.Version(), last)
		last = tracker.Version()
		time.Sleep(pollInterval)
	}
}

// run runs the simulation. It returns how far the rates exceed the number of confirmed
// edits, which happens if edits are applied more than once. It fails the test if a
// rate is lower, because then an edit was lost.
func (r *editSimulation) run(t *testing.T, seed uint64) int {
	r.confirmedEdits = make(map[string]int)
	r.random = rand.New(rand.NewPCG(seed, 0))
	start := parseTable(t, "kind,name,weight-accra,rate,burst\nregion,accra\nteam,own-1,,1,1\nteam,own-2,,1,1\nteam,shared,,1,1\n")
	publish(t, r.store, "start", 0, start)
	var tracker table.SnapshotTracker
	end := make(chan struct{})
	var operators, readers sync.WaitGroup
	readers.Go(func() { r.runReader(t, seed+2, &tracker, end) })
	if r.withPruner {
		readers.Go(func() { r.runPruner(t, seed+3, end) })
	}
	operators.Go(func() { r.runOperator(t, 1, seed) })
	operators.Go(func() { r.runOperator(t, 2, seed+1) })
	operators.Wait()
	time.Sleep(2 * time.Second)
	close(end)
	readers.Wait()
	// Wait for writes of the pruner that take effect late.
	time.Sleep(2 * time.Second)
	require.Zero(t, tracker.DuplicateVersionCount())
	excess := 0
	for _, row := range r.currentTable(t).Teams {
		difference := int(row.Rate) - 1 - r.confirmedEdits[row.Name]
		require.GreaterOrEqual(t, difference, 0, "an edit of team %s was lost", row.Name)
		excess += difference
	}
	return excess
}

// countRepeatedEdits counts the versions that repeat an edit which an earlier version
// contains. It also checks that all manifests can be read and that their versions are
// consecutive.
func (r *editSimulation) countRepeatedEdits(t *testing.T) int {
	history, err := table.History(t.Context(), r.store, 0)
	require.NoError(t, err)
	seen := make(map[table.EditID]bool)
	repeated := 0
	for i, m := range history {
		require.Equal(t, table.Version(len(history)-i), m.Version)
		if seen[m.EditID] {
			repeated++
		}
		seen[m.EditID] = true
	}
	return repeated
}

// runSimulations runs the simulation with each seed and returns the sums of its counts.
func runSimulations(t *testing.T, runCount int, hideRecentEdits bool) (excess, repeated, unknownOutcomes, interrupted int) {
	versions := 0
	for seed := range uint64(runCount) {
		synctest.Test(t, func(t *testing.T) {
			r := &editSimulation{
				store:           newStore(),
				hideRecentEdits: hideRecentEdits,
			}
			excess += r.run(t, 100*(seed+1))
			repeated += r.countRepeatedEdits(t)
			unknownOutcomes += r.unknownOutcomes
			interrupted += r.interruptedAttempts
			versions += int(load(t, r.store).Head.Version)
		})
	}
	t.Logf("%d runs: %d versions, %d edits applied twice, %d versions that repeat an edit, %d calls with an unknown outcome, %d interrupted calls",
		runCount, versions, excess, repeated, unknownOutcomes, interrupted)
	return excess, repeated, unknownOutcomes, interrupted
}

// TestConcurrentEditsApplyExactlyOnce checks that each edit is applied exactly once,
// although responses are lost, writes take effect late, calls do not reach the store
// and publishing processes are interrupted.
func TestConcurrentEditsApplyExactlyOnce(t *testing.T) {
	excess, repeated, unknownOutcomes, interrupted := runSimulations(t, *runs, false)
	require.Zero(t, excess)
	require.Zero(t, repeated)
	require.Positive(t, unknownOutcomes, "no call ended with an unknown outcome")
	require.Positive(t, interrupted, "no process was interrupted")
}

// TestConcurrentEditsWithoutIDsApplyTwice shows why edits have IDs: if publishers cannot
// see the recent edits of the head, the same runs apply some edits twice.
func TestConcurrentEditsWithoutIDsApplyTwice(t *testing.T) {
	excess, _, _, _ := runSimulations(t, min(*runs, maxRunsWithoutIDs), true)
	require.Positive(t, excess)
}

// TestPruneKeepsCurrentVersionDuringEdits checks that the current version is complete at
// any time while operators publish and a pruner deletes all other versions.
func TestPruneKeepsCurrentVersionDuringEdits(t *testing.T) {
	deletedParts, prunedReads := 0, 0
	for seed := range uint64(min(*runs, maxPruneRuns)) {
		synctest.Test(t, func(t *testing.T) {
			r := &editSimulation{
				store:      newStore(),
				withPruner: true,
			}
			require.Zero(t, r.run(t, 100*(seed+1)))
			deletedParts += r.deletedParts
			prunedReads += r.prunedReads
		})
	}
	t.Logf("%d parts deleted, %d loads failed because their version was pruned", deletedParts, prunedReads)
	require.Positive(t, deletedParts)
}

// TestPruneKeepsLatestVersions checks that a pruner deletes all versions except the
// configured number of latest ones, which remain complete.
func TestPruneKeepsLatestVersions(t *testing.T) {
	store := newStore()
	for i := range 5 {
		publish(t, store, table.EditID(fmt.Sprint(i)), table.Version(i), parseTable(t, smallTableWith(",400,600,", fmt.Sprintf(",%d,600,", 100+i))))
	}
	pruner := table.Pruner{
		Store:        store,
		KeepVersions: 2,
	}
	result, err := pruner.Prune(t.Context())
	require.NoError(t, err)
	require.Equal(t, table.PruneResult{
		DeletedVersions: 3,
		DeletedParts:    3,
		OldestKept:      4,
	}, result)
	history, err := table.History(t.Context(), store, 0)
	require.NoError(t, err)
	require.Len(t, history, 2)
	_, err = table.LoadEarlierVersion(t.Context(), store, 4)
	require.NoError(t, err)
	_, err = table.LoadEarlierVersion(t.Context(), store, 3)
	var notFound *table.VersionNotFoundError
	require.ErrorAs(t, err, &notFound)
	require.ErrorContains(t, err, "accepted: 4 to 5")
}

// TestPruneKeepsPartsWrittenBeforeHeadUpdate publishes the content of an earlier version
// again, and prunes after its parts have been written but before the head refers to
// them. A pruner that deleted these parts would leave the new version incomplete.
func TestPruneKeepsPartsWrittenBeforeHeadUpdate(t *testing.T) {
	store := newStore()
	first := parseTable(t, smallTable)
	publish(t, store, "a", 0, first)
	publish(t, store, "b", 1, parseTable(t, smallTableWith(",400,600,", ",500,600,")))
	pruner := table.Pruner{
		Store:        store,
		KeepVersions: 1,
	}
	client := &storeClient{
		shared: store.shared,
		beforePut: func(key string) {
			if key == table.HeadKey {
				_, err := pruner.Prune(t.Context())
				require.NoError(t, err)
			}
		},
	}
	require.Equal(t, table.Version(3), publish(t, client, "c", 2, first).Version)
	require.Empty(t, table.Diff(first, load(t, store).Table))
}
