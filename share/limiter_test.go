package share_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
)

// slowStore answers a read after a delay, with the value from the start of the
// read.
type slowStore struct {
	objectstore.Store
	value []byte
	delay time.Duration
}

func (s *slowStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	value := s.value
	time.Sleep(s.delay)
	return objectstore.Object{
		Key:     key,
		Value:   value,
		Version: 1,
	}, nil
}

func singleMemberAllocation(t *testing.T) share.Allocation {
	t.Helper()
	first, ok := share.NextAllocation(share.Allocation{}, []share.ProcessID{
		{
			Host:        "accra-1",
			Incarnation: 1,
		},
	})
	require.True(t, ok)
	return first
}

func newLimiter(clock func() time.Time) *share.Limiter {
	limiter := &share.Limiter{
		Host:        "accra-1",
		Incarnation: 1,
		Clock:       clock,
		Rand:        rand.New(rand.NewPCG(1, 2)),
	}
	limiter.SetLimits([]share.Limit{
		{
			Name: "team/chain",
			Kind: share.Rate{
				PerSecond: 10,
				Burst:     10,
			},
		},
	})
	return limiter
}

// A confirmation counts from the start of the read, so that a read that takes
// ConfirmationTTL confirms nothing.
func TestReadSlowerThanConfirmationTTLDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value, err := singleMemberAllocation(t).Encode()
		require.NoError(t, err)
		limiter := newLimiter(time.Now)
		syncer := &share.AllocationSyncer{
			Store: &slowStore{
				value: value,
				delay: share.ConfirmationTTL,
			},
			Limiter: limiter,
		}
		require.NoError(t, syncer.Refresh(t.Context()))
		require.False(t, limiter.EpochStatus().Confirmed)
		require.Equal(t, share.Epoch(1), limiter.EpochStatus().Epoch)
	})
}

// Tokens that were refilled after a grant must not also be returned, or a burst
// exceeds the limit.
func TestReturnedGrantsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := startTime
		limiter := newLimiter(func() time.Time { return now })
		limiter.ApplyAllocation(share.Allocation{
			Epoch: 1,
			Members: []share.ProcessID{
				{
					Host:        "accra-1",
					Incarnation: 1,
				},
			},
		}, 0)
		checker := &share.GrantChecker{}
		checker.SetLimits([]share.Limit{
			{
				Name: "team/chain",
				Kind: share.Rate{
					PerSecond: 10,
					Burst:     10,
				},
			},
		})
		var held []share.Grant
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			limiter.ApplyAllocation(singleMemberEpoch1, limiter.Timestamp())
			if len(held) > 0 && rapid.Bool().Draw(t, "back") {
				grant := held[0]
				held = held[1:]
				checker.Add(share.GrantRecord{
					Limit: grant.Limit,
					Time:  grant.Time,
					Count: -limiter.ReturnGrant(grant),
				})
				continue
			}
			for range rapid.IntRange(1, 10).Draw(t, "takes") {
				if d, ok := limiter.Acquire("team/chain", 1).(share.Granted); ok {
					held = append(held, d.Grant)
					checker.Add(share.GrantRecord{
						Limit: "team/chain",
						Time:  now,
						Count: 1,
					})
				}
			}
		}
		require.Empty(t, checker.Check(now))
	})
}

var singleMemberEpoch1 = share.Allocation{
	Epoch: 1,
	Members: []share.ProcessID{
		{
			Host:        "accra-1",
			Incarnation: 1,
		},
	},
}

// A new epoch must not be written while a process may still use a share of the
// epoch two before it.
func TestNoEpochIsWrittenBeforeEarlierEpochsExpire(t *testing.T) {
	now := startTime
	limiter := newLimiter(func() time.Time { return now })
	secondEpoch := singleMemberEpoch1
	secondEpoch.Epoch = 2
	limiter.SetLiveProcesses([]share.ProcessID{
		{
			Host:        "accra-1",
			Incarnation: 1,
		},
		{
			Host:        "accra-2",
			Incarnation: 1,
		},
	})
	writtenAfter := time.Duration(0)
	syncer := &share.AllocationSyncer{
		Store: &failingStore{
			onWrite: func() { writtenAfter = now.Sub(startTime) },
		},
		Limiter: limiter,
	}
	for writtenAfter == 0 && now.Sub(startTime) < time.Minute {
		limiter.ApplyAllocation(secondEpoch, limiter.Timestamp())
		limiter.Tick()
		_ = syncer.Refresh(t.Context())
		now = now.Add(share.TickInterval)
	}
	require.Greater(t, writtenAfter, share.ConfirmationTTL)
	require.Less(t, writtenAfter, time.Minute)
}

// failingStore fails every read and leaves the outcome of every write unknown.
type failingStore struct {
	objectstore.Store
	onWrite func()
}

func (s *failingStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	return objectstore.Object{}, &objectstore.UnavailableError{
		Key: key,
	}
}

func (s *failingStore) Put(_ context.Context, key string, _ []byte, _ objectstore.Condition) (objectstore.Version, error) {
	s.onWrite()
	return 0, &objectstore.UnknownOutcomeError{
		Key: key,
	}
}

// While a write may still take effect, the writer must not support its current
// epoch.
func TestNoSupportWhileWriteOutcomeIsUnknown(t *testing.T) {
	now := startTime
	limiter := newLimiter(func() time.Time { return now })
	secondEpoch := singleMemberEpoch1
	secondEpoch.Epoch = 2
	limiter.SetLiveProcesses([]share.ProcessID{
		{
			Host:        "accra-1",
			Incarnation: 1,
		},
		{
			Host:        "accra-2",
			Incarnation: 1,
		},
	})
	wrote := false
	syncer := &share.AllocationSyncer{
		Store: &failingStore{
			onWrite: func() { wrote = true },
		},
		Limiter: limiter,
	}
	for !wrote {
		limiter.ApplyAllocation(secondEpoch, limiter.Timestamp())
		limiter.Tick()
		_ = syncer.Refresh(t.Context())
		now = now.Add(share.TickInterval)
	}
	for range 100 {
		limiter.Tick()
		_ = syncer.Refresh(t.Context())
		now = now.Add(share.TickInterval)
		for _, envelope := range limiter.Receive(epochReportFrom("accra-2", 2)) {
			require.False(t, envelope.Message.(share.EpochReport).SupportsEpoch)
		}
	}
	require.False(t, limiter.EpochStatus().Confirmed)
}

func epochReportFrom(host string, epoch share.Epoch) share.EpochReport {
	return share.EpochReport{
		From: share.ProcessID{
			Host:        host,
			Incarnation: 1,
		},
		Epoch:           epoch,
		ConfirmationAge: share.UnknownAge,
		WantsReply:      true,
	}
}

// A member that voted must not support its epoch until the proposal is
// withdrawn. A late copy of the proposal must not change that.
func TestVoteEndsSupportUntilProposalIsWithdrawn(t *testing.T) {
	now := startTime
	limiter := newLimiter(func() time.Time { return now })
	limiter.ApplyAllocation(singleMemberEpoch1, 0)
	request := share.VoteRequest{
		From: share.ProcessID{
			Host:        "accra-2",
			Incarnation: 1,
		},
		To:             limiter.ProcessID(),
		Epoch:          2,
		ProposalNumber: 7,
	}
	require.True(t, supportsEpoch(limiter))
	require.Len(t, limiter.Receive(request), 1)
	require.False(t, supportsEpoch(limiter))
	withdrawn := request
	withdrawn.Withdrawn = true
	limiter.Receive(withdrawn)
	require.True(t, supportsEpoch(limiter))
	require.Empty(t, limiter.Receive(request))
	require.True(t, supportsEpoch(limiter))
}

func supportsEpoch(limiter *share.Limiter) bool {
	return limiter.Receive(epochReportFrom("accra-2", 1))[0].Message.(share.EpochReport).SupportsEpoch
}

// A process that acts as an earlier one must not report support, because it
// does not know how the earlier one voted.
func TestSuccessorProcessDoesNotSupportEpoch(t *testing.T) {
	now := startTime
	limiter := &share.Limiter{
		Host:        "accra-1",
		Incarnation: 2,
		SoleProcess: true,
		Clock:       func() time.Time { return now },
	}
	limiter.ApplyAllocation(singleMemberEpoch1, 0)
	require.False(t, supportsEpoch(limiter))
}

// Any input is either decoded or rejected, and a limiter handles every decoded
// message.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte(`{"to":"accra-1","kind":"beat","body":{"from":{"host":"accra-2","incarnation":1},"epoch":1,"places":[-1,9],"ages":"AQ=="}}`))
	f.Add([]byte(`{"to":"accra-1","kind":"ask","body":{"from":{"host":"accra-2"},"to":{"host":"accra-1","incarnation":1},"items":[{"limit":"team/chain","seq":1,"hold":-1,"want":9}]}}`))
	f.Add([]byte(`{"kind":"other"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var envelope share.Envelope
		if json.Unmarshal(data, &envelope) != nil {
			return
		}
		now := startTime
		limiter := newLimiter(func() time.Time { return now })
		limiter.ApplyAllocation(singleMemberEpoch1, 0)
		limiter.Receive(envelope.Message)
		require.LessOrEqual(t, limiter.LimitStatus("team/chain").Share, 1.0)
		_, err := json.Marshal(envelope)
		require.NoError(t, err)
	})
}
