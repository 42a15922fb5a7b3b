package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/quota"
)

// recoveredPart returns the part of a host that has recovered the half of the rates, as others remember it.
func recoveredPart(t *testing.T) *host.RatePart {
	p := &host.RatePart{}
	require.True(t, p.NeedsRecovery())
	require.True(t, p.Recover(quota.PartStatement{
		Part:    quota.WholePart / 2,
		Version: 7,
	}, time.Now()))
	return p
}

// wholeTarget lets a host use all that it may.
var wholeTarget = quota.TargetPart{
	High: quota.WholePart,
}

// TestRecoveredPartEndsWithoutTheOthers guards against a host that uses a part which it recovered, while another that can't be asked
// any longer removes its record and uses the same part, and against one that counts its lease from the answers.
func TestRecoveredPartEndsWithoutTheOthers(t *testing.T) {
	p := recoveredPart(t)
	part, _ := p.Usable(wholeTarget)
	require.Equal(t, quota.WholePart/2, part)
	require.True(t, p.NeedsRecovery(), "it asks again")
	later := time.Now().Add(quota.LeaseTime + time.Millisecond)
	p.Clock = func() time.Time { return later }
	part, _ = p.Usable(wholeTarget)
	require.Zero(t, part)
	require.False(t, p.Recover(p.Statement(), later.Add(-quota.LeaseTime)), "the part is not a new one")
	part, _ = p.Usable(wholeTarget)
	require.Equal(t, quota.WholePart/2, part)
}

// TestRecoveredPartYieldsToTheStore guards against a host that goes on to use a recovered part, or states it in its record, although the
// store has no record of the host or one that states less.
func TestRecoveredPartYieldsToTheStore(t *testing.T) {
	p := recoveredPart(t)
	require.Equal(t, 10, p.LimitRecovered(p.Stated(), 10))
	p.Settle(false)
	p.SetStated(quota.WholePart/2, 9)
	part, _ := p.Usable(wholeTarget)
	require.Zero(t, part, "a list must confirm it first")
	require.False(t, p.NeedsRecovery())

	p = recoveredPart(t)
	p.Settle(true)
	p.SetStated(10, 9)
	part, _ = p.Usable(wholeTarget)
	require.Equal(t, 10, part)
}

// TestLaterRecordIsNotReplacedByARecoveredPart guards against a host that recovers a part although it knows a later record.
func TestLaterRecordIsNotReplacedByARecoveredPart(t *testing.T) {
	p := &host.RatePart{}
	p.SetStated(10, 8)
	require.False(t, p.Recover(quota.PartStatement{
		Part:    quota.WholePart / 2,
		Version: 7,
	}, time.Now()))
	require.True(t, p.IsOlder(7))
	require.False(t, p.IsOlder(8))
}
