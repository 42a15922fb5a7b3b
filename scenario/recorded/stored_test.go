package recorded_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/lease"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// clock is a simulated clock that moves only when advance is called.
type clock struct {
	at time.Time
}

// newClock returns a clock at the time at which the objects were recorded.
func newClock() *clock {
	return &clock{
		at: time.Date(2027, time.January, 31, 8, 30, 0, 250_000_000, time.UTC),
	}
}

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(span time.Duration) { c.at = c.at.Add(span) }

// newRandom returns random bytes that are the same in each run.
func newRandom() *rand.ChaCha8 {
	return rand.NewChaCha8([32]byte([]byte("thirty-two bytes for the records")))
}

// dumpStore returns what a store holds under a prefix, each object on a line: the
// key, a tab and the value.
func dumpStore(t *testing.T, from objectstore.Store, prefix string) []byte {
	t.Helper()
	objects, err := from.List(t.Context(), prefix)
	require.NoError(t, err)
	var lines bytes.Buffer
	for _, o := range objects {
		lines.WriteString(o.Key + "\t" + string(o.Value) + "\n")
	}
	return lines.Bytes()
}

// restore puts recorded objects into an empty store.
func restore(t *testing.T, name string) *store.Memory {
	t.Helper()
	memory := &store.Memory{}
	for _, line := range readRecordedLines(t, name) {
		key, value, found := bytes.Cut(line, []byte("\t"))
		require.True(t, found)
		_, err := memory.Put(t.Context(), string(key), value, objectstore.IfAbsent{})
		require.NoError(t, err)
	}
	return memory
}

// TestPublishedTableIsStoredAsRecorded publishes three versions with the inputs
// and the times of the recording.
func TestPublishedTableIsStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	publisher := table.Publisher{
		Store: memory,
		Clock: at.now,
	}
	edited, err := table.ParseCSV(bytes.NewReader(readRecording(t, "stored/table.csv")))
	require.NoError(t, err)
	_, err = publisher.Publish(t.Context(), table.Edit{
		ID:    "first edit",
		Table: edited,
	})
	require.NoError(t, err)
	at.advance(time.Hour)
	changed := edited
	changed.Drains = nil
	changed.Teams = append(changed.Teams[:1:1], table.Team{
		Name:   "north-school",
		Rate:   20,
		Burst:  40,
		Weight: 1.5,
	})
	_, err = publisher.Publish(t.Context(), table.Edit{
		ID:     "second edit",
		Base:   1,
		Table:  changed,
		Author: "ama",
		Note:   "Hill School has left & North School came",
	})
	require.NoError(t, err)
	at.advance(time.Hour)
	_, err = publisher.Restore(t.Context(), 1, table.Edit{
		ID:     "third edit",
		Base:   2,
		Author: "kofi",
	})
	require.NoError(t, err)
	requireEqualsRecording(t, "stored/table", dumpStore(t, memory, ""))
}

// TestRecordedTableIsRead loads the recorded versions and writes them out as
// the operators' file.
func TestRecordedTableIsRead(t *testing.T) {
	memory := restore(t, "stored/table")
	reader := table.Reader{}
	newest, err := reader.Load(t.Context(), memory)
	require.NoError(t, err)
	require.EqualValues(t, 3, newest.Head.Version)
	requireTableFile(t, "stored/table-3.csv", newest.Table)
	second, err := table.LoadEarlierVersion(t.Context(), memory, 2)
	require.NoError(t, err)
	requireTableFile(t, "stored/table-2.csv", second.Table)
	history, err := table.History(t.Context(), memory, 0)
	require.NoError(t, err)
	require.Len(t, history, 3)
	require.Equal(t, "Hill School has left & North School came", history[1].Note)
	require.Equal(t, "ama", history[1].Author)
	require.EqualValues(t, 1, history[1].Base)
}

func requireTableFile(t *testing.T, name string, written table.Table) {
	t.Helper()
	var file bytes.Buffer
	require.NoError(t, table.WriteCSV(&file, written))
	requireEqualsRecording(t, name, file.Bytes())
}

// TestIssuedKeysAreStoredAsRecorded issues and withdraws keys with the times and
// the random bytes of the recording.
func TestIssuedKeysAreStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	manager := apikey.KeyManager{
		Store:  memory,
		Clock:  at.now,
		Random: newRandom(),
	}
	good, _, err := manager.Issue(t.Context(), "bright-start", "")
	require.NoError(t, err)
	at.advance(time.Minute)
	withdrawn, record, err := manager.Issue(t.Context(), "hill-school", "for the <old> site")
	require.NoError(t, err)
	at.advance(time.Minute)
	_, err = manager.Withdraw(t.Context(), record.Hash)
	require.NoError(t, err)
	requireEqualsRecording(t, "stored/keys", dumpStore(t, memory, ""))
	requireEqualsRecording(t, "stored/keys.txt", []byte(good.Reveal()+"\n"+withdrawn.Reveal()+"\n"))
}

// TestRecordedKeysAreKnown loads the recorded key records into a KeySet, as a host
// does, and verifies both keys.
func TestRecordedKeysAreKnown(t *testing.T) {
	memory := restore(t, "stored/keys")
	records, err := memory.List(t.Context(), apikey.KeyRecordPrefix)
	require.NoError(t, err)
	keySet := &apikey.KeySet{}
	keySet.ApplyList(records, time.Now())
	texts := readRecordedLines(t, "stored/keys.txt")
	name, err := keySet.View().Verify(string(texts[0]))
	require.NoError(t, err)
	require.Equal(t, "bright-start", name)
	_, err = keySet.View().Verify(string(texts[1]))
	var withdrawn *apikey.WithdrawnKeyError
	require.ErrorAs(t, err, &withdrawn)
	require.Equal(t, "hill-school", withdrawn.Team)
	require.Zero(t, keySet.View().CorruptObjects)
}

// newLease returns the recorded lease for the holder, and the fence of the object that
// only the lease's holder may write.
func newLease(from objectstore.Store, holder string, at *clock) (*lease.Lease, *lease.Fence) {
	held := &lease.Lease{
		Store:  from,
		Key:    "lease/plan",
		Holder: holder,
		Clock:  at.now,
	}
	return held, &lease.Fence{
		Lease: held,
		Key:   "plan/head",
	}
}

// replaceWith returns a ChangeFunc that sets the object to the text.
func replaceWith(text string) lease.ChangeFunc {
	return func([]byte) ([]byte, error) { return []byte(text), nil }
}

// TestLeaseIsStoredAsRecorded acquires the lease with two holders in turn and compares
// the store with the recordings after each step.
func TestLeaseIsStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	first, firstFence := newLease(memory, "entry-1/17", at)
	require.NoError(t, first.AcquireOrRenew(t.Context()))
	requireEqualsRecording(t, "stored/lease-taken", dumpStore(t, memory, ""))
	require.NoError(t, firstFence.Write(t.Context(), replaceWith(`{"step":1}`)))
	requireEqualsRecording(t, "stored/lease-written", dumpStore(t, memory, ""))
	require.NoError(t, first.Release(t.Context()))
	requireEqualsRecording(t, "stored/lease-released", dumpStore(t, memory, ""))
	second, secondFence := newLease(memory, "entry-2/18", at)
	require.NoError(t, second.AcquireOrRenew(t.Context()))
	require.NoError(t, secondFence.Write(t.Context(), replaceWith(`{"step":2}`)))
	requireEqualsRecording(t, "stored/lease-passed", dumpStore(t, memory, ""))
}

// TestRecordedLeaseIsRespected reads the recorded lease as a third candidate. It can't
// acquire the lease while the recorded holder's term lasts, and acquires it once that
// has expired or was released.
func TestRecordedLeaseIsRespected(t *testing.T) {
	at := newClock()
	memory := restore(t, "stored/lease-passed")
	third, fence := newLease(memory, "entry-3/19", at)
	var held *lease.HeldByOtherError
	require.ErrorAs(t, third.AcquireOrRenew(t.Context()), &held)
	require.Equal(t, "entry-2/18", held.Term.Holder)
	require.EqualValues(t, 2, held.Term.Epoch)
	body, epoch, err := fence.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, `{"step":2}`, string(body))
	require.EqualValues(t, 2, epoch)
	at.advance(time.Minute)
	require.NoError(t, third.AcquireOrRenew(t.Context()))
	released, _ := newLease(restore(t, "stored/lease-released"), "entry-3/19", at)
	require.NoError(t, released.AcquireOrRenew(t.Context()))
}

// TestAllocationIsStoredAsRecorded writes the first allocation of a fleet.
func TestAllocationIsStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	limiter := &globallimit.Limiter{
		Host:        "entry-1",
		Incarnation: 17,
		Clock:       at.now,
	}
	limiter.SetLiveProcesses([]globallimit.ProcessID{
		limiter.ProcessID(),
		{
			Host:        "entry-2",
			Incarnation: 18,
		},
	})
	syncer := &globallimit.AllocationSyncer{
		Store:   memory,
		Limiter: limiter,
	}
	require.NoError(t, syncer.Refresh(t.Context()))
	requireEqualsRecording(t, "stored/allocation", dumpStore(t, memory, ""))
}
