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

// newRegister returns the register that issued the recorded names.
func newRegister(at *clock) *ticket.Register {
	return &ticket.Register{
		Host:        netip.MustParseAddrPort("10.0.0.1:8000"),
		Incarnation: 0x5f3759df,
		Secret:      [32]byte([]byte("thirty-two bytes for the records")),
		Clock:       at.now,
	}
}

// TestTicketsAreIssuedAsRecorded issues ranges of names with the incarnation, the
// secret and the times of the recording.
func TestTicketsAreIssuedAsRecorded(t *testing.T) {
	at := newClock()
	register := newRegister(at)
	var written []byte
	for _, holder := range []string{"", "bright-start"} {
		issued := register.Issue(holder, 4)
		encoded, err := json.Marshal(issued)
		require.NoError(t, err)
		written = append(written, encoded...)
		written = append(written, "\n"+issued.Name(0)+"\n"+issued.Name(3)+"\n"...)
		at.advance(time.Minute)
	}
	requireRecorded(t, "stored/tickets", written)
}

// TestRecordedTicketsAreAdmitted reads recorded names, writes them again and
// admits each once.
func TestRecordedTicketsAreAdmitted(t *testing.T) {
	register := newRegister(newClock())
	lines := recordedLines(t, "stored/tickets")
	for i, holder := range map[int]string{
		1: "hill-school",
		2: "",
		4: "bright-start",
	} {
		text := string(lines[i])
		name, err := ticket.Parse(text)
		require.NoError(t, err)
		require.Equal(t, text, name.String())
		require.Equal(t, "10.0.0.1:8000", name.Host().String())
		require.Equal(t, "5f3759df", name.Incarnation().String())
		admitted, isAdmitted := register.Admit(name, holder).(*ticket.Admitted)
		require.True(t, isAdmitted, text)
		admitted.Settle(ticket.Answered)
		require.Equal(t, ticket.Repeated{
			Result: ticket.Answered,
		}, register.Admit(name, holder))
	}
	name, err := ticket.Parse(string(lines[5]))
	require.NoError(t, err)
	require.Equal(t, ticket.Refused{
		Reason: ticket.NotIssued,
	}, register.Admit(name, "hill-school"))
	require.Equal(t, "10.0.0.1:8000/5f3759df/2/420/4/3", name.ID())
}

// TestClaimsAreStoredAsRecorded admits requests under callers' own keys, with the
// times and the random bytes of the recording.
func TestClaimsAreStoredAsRecorded(t *testing.T) {
	uuid.SetRand(newRandom())
	defer uuid.SetRand(nil)
	at := newClock()
	memory := &store.Memory{}
	claims := &ticket.Claims{
		Store: memory,
		Clock: at.now,
	}
	for _, claim := range []struct {
		key    string
		result ticket.Result
	}{
		{
			key:    "order-1",
			result: ticket.Answered,
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
		claimed, isClaimed := decision.(*ticket.Claimed)
		require.True(t, isClaimed)
		if claim.result != ticket.Running {
			require.NoError(t, claimed.Settle(t.Context(), claim.result))
		}
		at.advance(time.Second)
	}
	requireRecorded(t, "stored/claims", stored(t, memory, ""))
}

// TestRecordedClaimsAreRespected refuses to run requests again whose claims are
// recorded, tells what came of them, and sweeps the oldest.
func TestRecordedClaimsAreRespected(t *testing.T) {
	at := newClock()
	memory := restore(t, "stored/claims")
	claims := &ticket.Claims{
		Store: memory,
		Clock: at.now,
	}
	for key, result := range map[string]ticket.Result{
		"order-1": ticket.Answered,
		"order-2": ticket.Running,
		"order-3": ticket.Unknown,
	} {
		decision, err := claims.Admit(t.Context(), "bright-start", key)
		require.NoError(t, err)
		require.Equal(t, ticket.Repeated{
			Result: result,
		}, decision)
	}
	at.advance(time.Hour + time.Second/2)
	swept, err := claims.Sweep(t.Context(), time.Hour)
	require.NoError(t, err)
	require.Equal(t, 1, swept)
}
