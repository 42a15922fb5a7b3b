package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// TestHostWithoutPartIsReadyOnceItCanBorrow guards against a host that stays out of use because
// the parts of the others leave no room for one.
func TestHostWithoutPartIsReadyOnceItCanBorrow(t *testing.T) {
	now := time.Unix(1000, 0)
	division := quota.Division{
		Self:    "host-1",
		Members: []string{"host-0", "host-1", "host-2"},
		Holders: []string{"host-0", "host-1", "host-2"},
	}
	l := &quota.Limiter{
		Incarnation: 1,
		Clock:       func() time.Time { return now },
	}
	l.SetDivision(division)
	request, isNeeded := l.RequestLoan("host-0")
	require.True(t, isNeeded)
	l.ReceiveLoan("host-0", request, now, quota.LoanResponse{
		Incarnation: 2,
	})
	require.False(t, l.HasShares(), "the lender has no part either")
	request, isNeeded = l.RequestLoan("host-2")
	require.True(t, isNeeded)
	l.ReceiveLoan("host-2", request, now, quota.LoanResponse{
		Incarnation: 3,
		HasPart:     true,
	})
	require.True(t, l.HasShares())
}

// TestOwnerWithoutShareAsksForOneAtOnce guards against requests that are rejected for half a second
// because the owner of the rate has not asked for a loan yet.
func TestOwnerWithoutShareAsksForOneAtOnce(t *testing.T) {
	shortages := 0
	l := &quota.Limiter{
		OnShortage: func() { shortages++ },
	}
	l.SetTeams([]routing.Team{team})
	l.SetDivision(quota.Division{
		Self:    "host-1",
		Members: []string{"host-0", "host-1"},
		Holders: []string{"host-0"},
	})
	_, ok := l.TakeToken(team.Name)
	require.False(t, ok)
	require.Equal(t, 1, shortages)
	_, ok = l.LendToken(team.Name, true)
	require.False(t, ok)
	require.Equal(t, 2, shortages)
}
