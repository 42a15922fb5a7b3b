package globallimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxControlTraffic is the target for all control traffic of one host in a
// fleet of 650 hosts, in bytes per second.
const maxControlTraffic = 16 << 10

func TestFleetOf650HostsMeetsTrafficAndRefusalTargets(t *testing.T) {
	t.Parallel()
	limits := teamLimits(8)
	f := newFleet(t, 5, 650, limits)
	f.advance(30 * time.Second)
	teams := f.startTeamCallers(limits)
	f.advance(10 * time.Second)
	rejectedFractionOfAllSinceReset(teams)
	f.resetTraffic()
	f.advance(30 * time.Second)
	rejectedStoreUp := rejectedFractionOfAllSinceReset(teams)
	f.logTraffic("store up", 30*time.Second)
	require.Less(t, rejectedStoreUp, maxRejectedFraction)
	require.Less(t, f.busiestHostTraffic(30*time.Second), float64(maxControlTraffic))

	f.store.down = true
	f.advance(20 * time.Second)
	rejectedFractionOfAllSinceReset(teams)
	f.resetTraffic()
	f.advance(30 * time.Second)
	rejectedStoreDown := rejectedFractionOfAllSinceReset(teams)
	f.logTraffic("store down", 30*time.Second)
	t.Logf("fraction rejected: %.4f with the store up, %.4f with the store down", rejectedStoreUp, rejectedStoreDown)
	require.Less(t, rejectedStoreDown, maxRejectedFraction)
	require.Less(t, f.busiestHostTraffic(30*time.Second), float64(maxControlTraffic))

	f.store.down = false
	f.advance(10 * time.Second)
	f.resetTraffic()
	f.killHost(f.hostNames[600])
	t.Logf("recovered %s after a host was lost", f.timeToRecover(teams, time.Minute))
	f.advance(20 * time.Second)
	t.Logf("loss of one host: %d bytes sent, at most %d by one host, %d store writes", f.bytesSent, f.maxBytesSent(), f.store.writes)
	requireLimitsHeld(t, f)
}

func (f *fleet) resetTraffic() {
	f.messagesSent = 0
	f.bytesSent = 0
	f.store.reads = 0
	f.store.writes = 0
	clear(f.bytesReceivedBy)
	clear(f.bytesSentBy)
}

// maxBytesSent returns the largest number of bytes sent by one host.
func (f *fleet) maxBytesSent() int {
	maxSent := 0
	for _, sent := range f.bytesSentBy {
		maxSent = max(maxSent, sent)
	}
	return maxSent
}

// busiestHostTraffic returns the largest traffic of one host, sent and
// received, in bytes per second.
func (f *fleet) busiestHostTraffic(period time.Duration) float64 {
	maxTraffic := 0
	for _, name := range f.hostNames {
		maxTraffic = max(maxTraffic, f.bytesReceivedBy[name]+f.bytesSentBy[name])
	}
	return float64(maxTraffic) / period.Seconds()
}

func (f *fleet) logTraffic(title string, period time.Duration) {
	seconds := period.Seconds()
	hosts := float64(len(f.hostNames))
	f.t.Logf("%s, %d hosts: %.1f messages/s and %.0f B/s sent per host, busiest host %.0f B/s sent and received, %.1f store reads/s, %.2f store writes/s",
		title, len(f.hostNames), float64(f.messagesSent)/seconds/hosts, float64(f.bytesSent)/seconds/hosts, f.busiestHostTraffic(period),
		float64(f.store.reads)/seconds, float64(f.store.writes)/seconds)
}
