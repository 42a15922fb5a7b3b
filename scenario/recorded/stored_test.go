package recorded_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/lease"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// clock is a time that moves only when it is told to.
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

// stored writes what a store holds under a prefix, each object on a line: the
// key, a tab and the value.
func stored(t *testing.T, from objectstore.Store, prefix string) []byte {
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
	for _, line := range recordedLines(t, name) {
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
	edited, err := table.ParseCSV(bytes.NewReader(recorded(t, "stored/table.csv")))
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
	requireRecorded(t, "stored/table", stored(t, memory, ""))
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
	second, err := table.ReadVersion(t.Context(), memory, 2)
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
	requireRecorded(t, name, file.Bytes())
}

// TestIssuedKeysAreStoredAsRecorded issues and withdraws keys with the times and
// the random bytes of the recording.
func TestIssuedKeysAreStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	office := team.Office{
		Store:  memory,
		Clock:  at.now,
		Random: newRandom(),
	}
	good, _, err := office.Issue(t.Context(), "bright-start", "")
	require.NoError(t, err)
	at.advance(time.Minute)
	withdrawn, record, err := office.Issue(t.Context(), "hill-school", "for the <old> site")
	require.NoError(t, err)
	at.advance(time.Minute)
	_, err = office.Withdraw(t.Context(), record.Hash)
	require.NoError(t, err)
	requireRecorded(t, "stored/keys", stored(t, memory, ""))
	requireRecorded(t, "stored/keys.txt", []byte(good.Reveal()+"\n"+withdrawn.Reveal()+"\n"))
}

// TestRecordedKeysAreKnown takes the recorded keys in as a host does.
func TestRecordedKeysAreKnown(t *testing.T) {
	memory := restore(t, "stored/keys")
	records, err := memory.List(t.Context(), team.Prefix)
	require.NoError(t, err)
	holder := &team.Holder{}
	holder.Refresh(records, time.Now())
	texts := recordedLines(t, "stored/keys.txt")
	name, err := holder.View().Verify(string(texts[0]))
	require.NoError(t, err)
	require.Equal(t, "bright-start", name)
	_, err = holder.View().Verify(string(texts[1]))
	var withdrawn *team.WithdrawnKeyError
	require.ErrorAs(t, err, &withdrawn)
	require.Equal(t, "hill-school", withdrawn.Team)
	require.Zero(t, holder.View().Corrupt)
}

// newLease returns a holder's side of the recorded lease and its guarded object.
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

// replace returns a change of a guarded object to a text.
func replace(text string) lease.Change {
	return func([]byte) ([]byte, error) { return []byte(text), nil }
}

// TestLeaseIsStoredAsRecorded lets two holders have the lease one after the
// other, and holds each record against the recording.
func TestLeaseIsStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	first, firstFence := newLease(memory, "entry-1/17", at)
	require.NoError(t, first.Renew(t.Context()))
	requireRecorded(t, "stored/lease-taken", stored(t, memory, ""))
	require.NoError(t, firstFence.Write(t.Context(), replace(`{"step":1}`)))
	requireRecorded(t, "stored/lease-written", stored(t, memory, ""))
	require.NoError(t, first.Release(t.Context()))
	requireRecorded(t, "stored/lease-released", stored(t, memory, ""))
	second, secondFence := newLease(memory, "entry-2/18", at)
	require.NoError(t, second.Renew(t.Context()))
	require.NoError(t, secondFence.Write(t.Context(), replace(`{"step":2}`)))
	requireRecorded(t, "stored/lease-passed", stored(t, memory, ""))
}

// TestRecordedLeaseIsRespected reads the recorded records as a third candidate:
// it waits for the holder that is recorded, and takes its turn after it.
func TestRecordedLeaseIsRespected(t *testing.T) {
	at := newClock()
	memory := restore(t, "stored/lease-passed")
	third, fence := newLease(memory, "entry-3/19", at)
	var held *lease.HeldError
	require.ErrorAs(t, third.Renew(t.Context()), &held)
	require.Equal(t, "entry-2/18", held.Term.Holder)
	require.EqualValues(t, 2, held.Term.Epoch)
	body, epoch, err := fence.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, `{"step":2}`, string(body))
	require.EqualValues(t, 2, epoch)
	at.advance(time.Minute)
	require.NoError(t, third.Renew(t.Context()))
	released, _ := newLease(restore(t, "stored/lease-released"), "entry-3/19", at)
	require.NoError(t, released.Renew(t.Context()))
}

// TestAllocationIsStoredAsRecorded writes the first allocation of a fleet.
func TestAllocationIsStoredAsRecorded(t *testing.T) {
	at := newClock()
	memory := &store.Memory{}
	holder := &share.Limiter{
		Host:        "entry-1",
		Incarnation: 17,
		Clock:       at.now,
	}
	holder.SetLiveProcesses([]share.ProcessID{
		holder.ProcessID(),
		{
			Host:        "entry-2",
			Incarnation: 18,
		},
	})
	keeper := &share.AllocationSyncer{
		Store:   memory,
		Limiter: holder,
	}
	require.NoError(t, keeper.Refresh(t.Context()))
	requireRecorded(t, "stored/allocation", stored(t, memory, ""))
}
