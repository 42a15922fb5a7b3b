package scenario_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/caller"
)

// maxWithdrawalDelay is the longest time that a withdrawn key may still be
// accepted.
const maxWithdrawalDelay = 5 * time.Second

// TestResumedHostRefusesWithdrawnKey guards against a host that accepts a
// withdrawn key because it was suspended and missed the withdrawal. The test
// suspends a host, sends it a request, withdraws the request's key and resumes the
// host after maxWithdrawalDelay. The host must refuse the pending request.
func TestResumedHostRefusesWithdrawnKey(t *testing.T) {
	f := newTestFleet(t, 4)
	key, hash := f.issueKey("bright-start")
	suspended := f.hosts[1]
	suspended.suspend(t)
	results := make(chan caller.Result, 1)
	go func() { results <- f.sendDirect(suspended, key, http.MethodGet, "/stock") }()
	f.runTool("key", "withdraw", hash)
	withdrawnAt := time.Now()
	time.Sleep(maxWithdrawalDelay)
	suspended.signal(t, syscall.SIGCONT)
	pending := <-results
	require.Equal(t, caller.NotRun, pending.Outcome, pending.Reason)
	require.Equal(t, "withdrawn-key", waitForRefusalReason(f, suspended, key))
	for _, h := range f.hosts {
		require.Greater(t, time.Since(withdrawnAt), maxWithdrawalDelay)
		result := f.sendDirect(h, key, http.MethodGet, "/stock")
		require.Equal(t, caller.NotRun, result.Outcome)
	}
	f.requireNoViolations(f.hosts...)
}

// waitForRefusalReason sends requests with the key, which the host must refuse
// each time, until the reason is no longer "keys-unconfirmed". It returns the
// reason. A resumed host refuses keys with "keys-unconfirmed" until its copy of
// the keys is recent enough to exclude withdrawn ones.
func waitForRefusalReason(f *testFleet, h *process, key string) string {
	var reason string
	f.waitFor("the host refuses the key for a reason other than keys-unconfirmed", func() bool {
		result := f.sendDirect(h, key, http.MethodGet, "/stock")
		require.Equal(f.t, caller.NotRun, result.Outcome)
		reason = result.Reason
		return reason != "keys-unconfirmed"
	})
	return reason
}

// TestKeysStayValidWhileStoreIsDown guards against hosts that refuse valid keys
// because they cannot reach the store. The store is down for 15 s, three times
// maxWithdrawalDelay. No withdrawal can be accepted during that time, so hosts
// must go on serving requests with keys.
func TestKeysStayValidWhileStoreIsDown(t *testing.T) {
	f := newTestFleet(t, 4)
	key, _ := f.issueKey("bright-start")
	c := f.newCaller(key)
	f.setStoreFaults(`{"down": true}`)
	load := caller.LoadGenerator{
		Caller: c,
		Request: caller.Request{
			Method: http.MethodGet,
			Path:   "/stock",
		},
		Count:   300,
		Rate:    20,
		Timeout: waitTimeout,
	}
	summary := load.Run(t.Context())
	f.setStoreFaults(`{}`)
	t.Logf("with the store down for 15 s: %+v", summary)
	require.Zero(t, summary.OutcomeUnknown)
	require.Zero(t, summary.Unreachable)
	require.Less(t, summary.NotRun, 3, "fewer than 1%% of the requests may be refused: %+v", summary.Reasons)
	f.requireNoViolations(f.hosts...)
}
