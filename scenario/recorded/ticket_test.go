package recorded_test

import (
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/ticket"
)

// newRegistry returns a registry with the incarnation and the secret of the recording.
func newRegistry(at *clock) *ticket.Registry {
	return &ticket.Registry{
		Host:        netip.MustParseAddrPort("10.0.0.1:8000"),
		Incarnation: 0x5f3759df,
		Secret:      [32]byte([]byte("thirty-two bytes for the records")),
		Clock:       at.now,
	}
}

// TestTicketsAreIssuedAsRecorded issues ranges of tickets with the incarnation, the
// secret and the times of the recording.
func TestTicketsAreIssuedAsRecorded(t *testing.T) {
	at := newClock()
	registry := newRegistry(at)
	var written []byte
	for _, team := range []string{"", "bright-start"} {
		issued := registry.Issue(team, 4)
		encoded, err := json.Marshal(issued)
		require.NoError(t, err)
		written = append(written, encoded...)
		written = append(written, "\n"+issued.Ticket(0)+"\n"+issued.Ticket(3)+"\n"...)
		at.advance(time.Minute)
	}
	requireEqualsRecording(t, "stored/tickets", written)
}

// TestRecordedTicketsAreAdmitted parses recorded tickets, formats them again and
// checks that each is admitted once, and that a ticket is refused to a team that it
// was not issued to.
func TestRecordedTicketsAreAdmitted(t *testing.T) {
	registry := newRegistry(newClock())
	lines := readRecordedLines(t, "stored/tickets")
	for i, team := range map[int]string{
		1: "hill-school",
		2: "",
		4: "bright-start",
	} {
		text := string(lines[i])
		parsed, err := ticket.Parse(text)
		require.NoError(t, err)
		require.Equal(t, text, parsed.String())
		require.Equal(t, "10.0.0.1:8000", parsed.Host().String())
		require.Equal(t, "5f3759df", parsed.Incarnation().String())
		admitted, isAdmitted := registry.Admit(parsed, team).(*ticket.AdmittedByTicket)
		require.True(t, isAdmitted, text)
		admitted.RecordResult(ticket.Responded)
		require.Equal(t, ticket.Duplicate{
			Result: ticket.Responded,
		}, registry.Admit(parsed, team))
	}
	parsed, err := ticket.Parse(string(lines[5]))
	require.NoError(t, err)
	require.Equal(t, ticket.Rejected{
		Reason: ticket.NotIssued,
	}, registry.Admit(parsed, "hill-school"))
	require.Equal(t, "10.0.0.1:8000/5f3759df/2/420/4/3", parsed.ID())
}

// TestClaimsAreStoredAsRecorded admits requests under callers' own keys, with the
// times and the random bytes of the recording.
func TestClaimsAreStoredAsRecorded(t *testing.T) {
	uuid.SetRand(newRandom())
	defer uuid.SetRand(nil)
	at := newClock()
	memory := &store.Memory{}
	claims := &ticket.IdempotencyKeys{
		Store: memory,
		Clock: at.now,
	}
	for _, claim := range []struct {
		key    string
		result ticket.Result
	}{
		{
			key:    "order-1",
			result: ticket.Responded,
		},
		{
			key:    "order-2",
			result: ticket.Running,
		},
		{
			key:    "order-3",
			result: ticket.Unknown,
		},
		{
			key:    "order-4",
			result: ticket.NotRun,
		},
	} {
		decision, err := claims.Admit(t.Context(), "bright-start", claim.key)
		require.NoError(t, err)
		claimed, isClaimed := decision.(*ticket.AdmittedByKey)
		require.True(t, isClaimed)
		if claim.result != ticket.Running {
			require.NoError(t, claimed.RecordResult(t.Context(), claim.result))
		}
		at.advance(time.Second)
	}
	requireEqualsRecording(t, "stored/claims", dumpStore(t, memory, ""))
}

// TestRecordedClaimsAreRespected checks that requests with a recorded claim are
// answered as duplicates with the recorded result, and that claims older than an hour
// are deleted.
func TestRecordedClaimsAreRespected(t *testing.T) {
	at := newClock()
	memory := restore(t, "stored/claims")
	claims := &ticket.IdempotencyKeys{
		Store: memory,
		Clock: at.now,
	}
	for key, result := range map[string]ticket.Result{
		"order-1": ticket.Responded,
		"order-2": ticket.Running,
		"order-3": ticket.Unknown,
	} {
		decision, err := claims.Admit(t.Context(), "bright-start", key)
		require.NoError(t, err)
		require.Equal(t, ticket.Duplicate{
			Result: result,
		}, decision)
	}
	at.advance(time.Hour + time.Second/2)
	deleted, err := claims.DeleteClaimsOlderThan(t.Context(), time.Hour)
	require.NoError(t, err)
	require.Equal(t, 1, deleted)
}
