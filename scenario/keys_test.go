package scenario_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/caller"
)

// withdrawalBound is how long after its withdrawal a key may still be served.
const withdrawalBound = 5 * time.Second

// TestFrozenHostServesNoWithdrawnKey freezes a host, withdraws a key and lets the
// host go on past the bound: the request that waits in it must be refused.
func TestFrozenHostServesNoWithdrawnKey(t *testing.T) {
	w := newWorld(t, 4)
	key, hash := w.issueKey("bright-start")
	frozen := w.hosts[1]
	frozen.freeze(t)
	results := make(chan caller.Result, 1)
	go func() { results <- w.ask(frozen, key, http.MethodGet, "/stock") }()
	w.operate("key", "withdraw", hash)
	withdrawn := time.Now()
	time.Sleep(withdrawalBound)
	frozen.signal(t, syscall.SIGCONT)
	thawed := <-results
	require.Equal(t, caller.NotRun, thawed.Outcome, thawed.Reason)
	require.Equal(t, "withdrawn-key", untilRefused(w, frozen, key))
	for _, h := range w.hosts {
		require.Greater(t, time.Since(withdrawn), withdrawalBound)
		result := w.ask(h, key, http.MethodGet, "/stock")
		require.Equal(t, caller.NotRun, result.Outcome)
	}
	w.requireSound(w.hosts...)
}

// untilRefused asks until the host knows why it refuses, and returns the reason.
func untilRefused(w *world, h *machine, key string) string {
	var reason string
	w.until("the host learns of the withdrawal", func() bool {
		result := w.ask(h, key, http.MethodGet, "/stock")
		require.Equal(w.t, caller.NotRun, result.Outcome)
		reason = result.Reason
		return reason != "keys-unconfirmed"
	})
	return reason
}

// TestKeysStandWhileTheStoreIsDown takes the store away for three times the
// bound of a withdrawal: no withdrawal can be accepted, so keyed requests go on.
func TestKeysStandWhileTheStoreIsDown(t *testing.T) {
	w := newWorld(t, 4)
	key, _ := w.issueKey("bright-start")
	c := w.caller(key)
	w.storeFaults(`{"down": true}`)
	load := caller.LoadGenerator{
		Caller: c,
		Request: caller.Request{
			Method: http.MethodGet,
			Path:   "/stock",
		},
		Count:   300,
		Rate:    20,
		Timeout: patience,
	}
	summary := load.Run(t.Context())
	w.storeFaults(`{}`)
	t.Logf("with the store down for 15 s: %+v", summary)
	require.Zero(t, summary.OutcomeUnknown)
	require.Zero(t, summary.Unreachable)
	require.Less(t, summary.NotRun, 3, "under 1%% may be refused: %+v", summary.Reasons)
	w.requireSound(w.hosts...)
}
