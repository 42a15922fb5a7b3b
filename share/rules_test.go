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

// slowStore answers a read late with what was stored when it began.
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

func alone(t *testing.T) share.Allocation {
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

func newHolder(clock func() time.Time) *share.Limiter {
	h := &share.Limiter{
		Host:        "accra-1",
		Incarnation: 1,
		Clock:       clock,
		Rand:        rand.New(rand.NewPCG(1, 2)),
	}
	h.SetLimits([]share.Limit{
		{
			Name: "team/chain",
			Kind: share.Rate{
				PerSecond: 10,
				Burst:     10,
			},
		},
	})
	return h
}

// A read counts from its beginning, however late its answer comes.
func TestLateReadConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		value, err := alone(t).Encode()
		require.NoError(t, err)
		h := newHolder(time.Now)
		keeper := &share.AllocationSyncer{
			Store: &slowStore{
				value: value,
				delay: share.ConfirmationTTL,
			},
			Limiter: h,
		}
		require.NoError(t, keeper.Refresh(t.Context()))
		require.False(t, h.EpochStatus().Confirmed)
		require.Equal(t, share.Epoch(1), h.EpochStatus().Epoch)
	})
}

// Tokens that were replaced since they were taken can't be given back too.
func TestGiveBackMakesNoTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epochZero
		h := newHolder(func() time.Time { return now })
		h.ApplyAllocation(share.Allocation{
			Epoch: 1,
			Members: []share.ProcessID{
				{
					Host:        "accra-1",
					Incarnation: 1,
				},
			},
		}, 0)
		ledger := &share.GrantChecker{}
		ledger.SetLimits([]share.Limit{
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
			h.ApplyAllocation(alone1, h.Timestamp())
			if len(held) > 0 && rapid.Bool().Draw(t, "back") {
				grant := held[0]
				held = held[1:]
				ledger.Add(share.GrantRecord{
					Limit: grant.Limit,
					Time:  grant.Time,
					Count: -h.ReturnGrant(grant),
				})
				continue
			}
			for range rapid.IntRange(1, 10).Draw(t, "takes") {
				if d, ok := h.Acquire("team/chain", 1).(share.Granted); ok {
					held = append(held, d.Grant)
					ledger.Add(share.GrantRecord{
						Limit: "team/chain",
						Time:  now,
						Count: 1,
					})
				}
			}
		}
		require.Empty(t, ledger.Check(now))
	})
}

var alone1 = share.Allocation{
	Epoch: 1,
	Members: []share.ProcessID{
		{
			Host:        "accra-1",
			Incarnation: 1,
		},
	},
}

// No epoch is proposed before all uses of the one before the last have ended.
func TestNoProposalBeforeTheEpochIsSettled(t *testing.T) {
	now := epochZero
	h := newHolder(func() time.Time { return now })
	second := alone1
	second.Epoch = 2
	h.SetLiveProcesses([]share.ProcessID{
		{
			Host:        "accra-1",
			Incarnation: 1,
		},
		{
			Host:        "accra-2",
			Incarnation: 1,
		},
	})
	proposed := time.Duration(0)
	keeper := &share.AllocationSyncer{
		Store: &countingStore{
			wrote: func() { proposed = now.Sub(epochZero) },
		},
		Limiter: h,
	}
	for proposed == 0 && now.Sub(epochZero) < time.Minute {
		h.ApplyAllocation(second, h.Timestamp())
		h.Tick()
		_ = keeper.Refresh(t.Context())
		now = now.Add(share.TickInterval)
	}
	require.Greater(t, proposed, share.ConfirmationTTL)
	require.Less(t, proposed, time.Minute)
}

type countingStore struct {
	objectstore.Store
	wrote func()
}

func (s *countingStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	return objectstore.Object{}, &objectstore.UnavailableError{
		Key: key,
	}
}

func (s *countingStore) Put(_ context.Context, key string, _ []byte, _ objectstore.Condition) (objectstore.Version, error) {
	s.wrote()
	return 0, &objectstore.UnknownOutcomeError{
		Key: key,
	}
}

// While a write may still take effect, the writer pledges its epoch no more.
func TestUnknownWriteKeepsThePromise(t *testing.T) {
	now := epochZero
	h := newHolder(func() time.Time { return now })
	second := alone1
	second.Epoch = 2
	h.SetLiveProcesses([]share.ProcessID{
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
	keeper := &share.AllocationSyncer{
		Store: &countingStore{
			wrote: func() { wrote = true },
		},
		Limiter: h,
	}
	for !wrote {
		h.ApplyAllocation(second, h.Timestamp())
		h.Tick()
		_ = keeper.Refresh(t.Context())
		now = now.Add(share.TickInterval)
	}
	for range 100 {
		h.Tick()
		_ = keeper.Refresh(t.Context())
		now = now.Add(share.TickInterval)
		for _, envelope := range h.Receive(beatFrom("accra-2", 2)) {
			require.False(t, envelope.Message.(share.EpochReport).SupportsEpoch)
		}
	}
	require.False(t, h.EpochStatus().Confirmed)
}

func beatFrom(host string, epoch share.Epoch) share.EpochReport {
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

// A holder that consented confirms its epoch no more, until the proposal is
// withdrawn; a late copy of it changes nothing then.
func TestConsentEndsThePledge(t *testing.T) {
	now := epochZero
	h := newHolder(func() time.Time { return now })
	h.ApplyAllocation(alone1, 0)
	propose := share.VoteRequest{
		From: share.ProcessID{
			Host:        "accra-2",
			Incarnation: 1,
		},
		To:             h.ProcessID(),
		Epoch:          2,
		ProposalNumber: 7,
	}
	require.True(t, pledges(h))
	require.Len(t, h.Receive(propose), 1)
	require.False(t, pledges(h))
	withdrawn := propose
	withdrawn.Withdrawn = true
	h.Receive(withdrawn)
	require.True(t, pledges(h))
	require.Empty(t, h.Receive(propose))
	require.True(t, pledges(h))
}

func pledges(h *share.Limiter) bool {
	return h.Receive(beatFrom("accra-2", 1))[0].Message.(share.EpochReport).SupportsEpoch
}

// A process that stands for an earlier one does not pledge for it: it does not
// know what that one promised.
func TestSuccessorDoesNotPledge(t *testing.T) {
	now := epochZero
	h := &share.Limiter{
		Host:        "accra-1",
		Incarnation: 2,
		SoleProcess: true,
		Clock:       func() time.Time { return now },
	}
	h.ApplyAllocation(alone1, 0)
	require.False(t, pledges(h))
}

// Any input is decoded or refused, and a holder survives it.
func FuzzEnvelope(f *testing.F) {
	f.Add([]byte(`{"to":"accra-1","kind":"beat","body":{"from":{"host":"accra-2","incarnation":1},"epoch":1,"places":[-1,9],"ages":"AQ=="}}`))
	f.Add([]byte(`{"to":"accra-1","kind":"ask","body":{"from":{"host":"accra-2"},"to":{"host":"accra-1","incarnation":1},"items":[{"limit":"team/chain","seq":1,"hold":-1,"want":9}]}}`))
	f.Add([]byte(`{"kind":"other"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var envelope share.Envelope
		if json.Unmarshal(data, &envelope) != nil {
			return
		}
		now := epochZero
		h := newHolder(func() time.Time { return now })
		h.ApplyAllocation(alone1, 0)
		h.Receive(envelope.Message)
		require.LessOrEqual(t, h.LimitStatus("team/chain").Share, 1.0)
		_, err := json.Marshal(envelope)
		require.NoError(t, err)
	})
}
