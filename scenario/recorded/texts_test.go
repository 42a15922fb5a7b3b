package recorded_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"

	trefoillinev1 "trefoilline.example/trefoilline/api/trefoilline/v1"
	"trefoilline.example/trefoilline/api/trefoilline/v1/trefoillinev1connect"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/routing"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
	"trefoilline.example/trefoilline/ticket"
)

// texts are the texts and numbers that stand for something in messages, objects,
// keys and headers.
var texts = []struct {
	what   string
	values []any
}{
	{
		what: "states of a host",
		values: []any{
			int(fleet.Alive), int(fleet.Suspect), int(fleet.Dead), int(fleet.Removed),
			fleet.Alive, fleet.Suspect, fleet.Dead, fleet.Removed,
		},
	},
	{
		what:   "kinds and states of machines",
		values: []any{objectstore.EntryHost, objectstore.BackendServer, objectstore.Live, objectstore.Draining},
	},
	{
		what: "codes of failed calls",
		values: []any{
			objectstore.CodeNotFound, objectstore.CodeConflict, objectstore.CodeRefused, objectstore.CodeUnavailable,
		},
	},
	{
		what:   "paths of the store",
		values: []any{objectstore.ObjectsPath, objectstore.ListPath, objectstore.WatchPath, objectstore.MachinesPath},
	},
	{
		what: "paths of hosts",
		values: []any{
			peer.MessagesPath, peer.ObjectsPath,
			trefoillinev1connect.LookUpServiceLookUpProcedure,
		},
	},
	{
		what: "access, repetition and kinds of rows",
		values: []any{
			table.KeyRequired, table.Public, table.Idempotent, table.AtMostOnce,
			table.KindVersion, table.KindRegion, table.KindRoute, table.KindTeam, table.KindLink, table.KindDrain, table.KindBlock,
			routing.AtMostOnce, routing.Idempotent,
		},
	},
	{
		what: "keys of the store",
		values: []any{
			table.HeadKey, table.ManifestKey(7, "sum"), table.PartKey("sum"), table.KeyPrefix,
			team.HeadKey, team.ObjectKey(team.Hash{}), share.DefaultKey, ticket.DefaultClaimPrefix,
			ticket.ClaimID("bright-start", "order-1"),
			platform.ConfigurationKey, platform.ConfigurationPrefix, platform.ServerPrefix, platform.EvacuationPrefix,
		},
	},
	{
		what: "names of limits",
		values: []any{
			entry.TeamLimit("bright-start"), steer.LinkLimitName("accra", "kumasi"), steer.ShiftLimitName("accra", "kumasi"),
			backend.SlotLimit("storefront", "accra"),
		},
	},
	{
		what: "results and refusals of tickets",
		values: []any{
			ticket.Unknown, ticket.Running, ticket.Answered, ticket.NotRun, ticket.NotIssued, ticket.RegisterFull,
		},
	},
	{
		what: "identity of a holder",
		values: []any{
			share.ProcessID{
				Host:        "entry-1",
				Incarnation: 17,
			},
		},
	},
	{
		what: "headers",
		values: []any{
			header.FleetSecret, header.APIKey, header.Ticket, header.RequestID, header.Timeout, header.NotRun, header.OutcomeUnknown,
			header.ForwardedBy, header.IdempotencyKey, header.XIdempotencyKey, header.APIKeyParameter, header.APIKeyCookie,
			header.Draining, header.Shed, header.FormatTimeout(1500 * time.Millisecond),
		},
	},
	{
		what: "reasons of entry hosts",
		values: []any{
			entry.Starting, entry.NoRoute, entry.NoKey, entry.MalformedKey, entry.UnknownKey, entry.WithdrawnKey,
			entry.KeysUnconfirmed, entry.UnknownTeam, entry.OverRate, entry.RateUnconfirmed, entry.QueueFull,
			entry.DeadlineUnmet, entry.Cancelled, entry.NoServer, entry.LimitReached, entry.BadDeadline, entry.BadBody,
			entry.Failed, entry.BrokenAnswer, entry.CallerGone, retry.NoBackendServer, retry.RequestCrashesServers,
		},
	},
	{
		what: "reasons of exchanges",
		values: []any{
			exchange.Unreachable, exchange.NotSent, exchange.BodyConsumed, exchange.Misdirected, exchange.Rejected,
			exchange.Cancelled, exchange.DeadlineExceeded, exchange.ResponseTimedOut, exchange.ConnectionBroken, exchange.MismatchedResponse,
			exchange.CloseDelimited, exchange.AlreadySent,
		},
	},
	{
		what: "headers of the platform",
		values: []any{
			platform.HeaderCodec.RequestID, platform.HeaderCodec.Timeout, platform.HeaderCodec.NotRun, platform.HeaderCodec.TargetServer,
			platform.HeaderCodec.Team, platform.HeaderCodec.APIKey, platform.HeaderCodec.ResponseSeal, platform.HeaderCodec.ServerLoad,
			platform.HeaderCodec.RespondingServer, platform.HeaderCodec.WarmUpRemaining,
			platform.HeaderCodec.FormatTimeout(1500 * time.Millisecond), platform.HeaderCodec.FormatRetryAfter(1500 * time.Millisecond),
		},
	},
}

// TestTextsAreAsRecorded compares the texts that no message of the recordings is
// sure to show.
func TestTextsAreAsRecorded(t *testing.T) {
	var lines bytes.Buffer
	for _, text := range texts {
		fmt.Fprintf(&lines, "%s: %v\n", text.what, text.values)
	}
	requireRecorded(t, "texts", lines.Bytes())
}

// TestHeadersOfThePlatformAreRead reads a request and an answer of the platform.
func TestHeadersOfThePlatformAreRead(t *testing.T) {
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set("Authorization", "Token first-key")
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Cookie", "X-Affinity-Key=object-1")
	require.Equal(t, "first-key", platform.HeaderCodec.ReadAPIKey(request))
	require.Equal(t, 1500*time.Millisecond, platform.HeaderCodec.ReadTimeout(request))
	require.Equal(t, "object-1", platform.HeaderCodec.ReadAffinityKey(request))
	load := platform.HeaderCodec.ReadLoad(http.Header{
		"X-Server-Load": []string{
			"1,2,4",
		},
	})
	require.Equal(t, "&{1 2 4}", fmt.Sprint(load))
}

// TestCallsOfOperatorsAndCallersAreAsRecorded compares the description of the
// calls that operators and callers make. Comments are no part of it.
func TestCallsOfOperatorsAndCallersAreAsRecorded(t *testing.T) {
	description := protodesc.ToFileDescriptorProto(trefoillinev1.File_trefoilline_v1_trefoilline_proto)
	content, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(description)
	require.NoError(t, err)
	requireRecorded(t, "calls/trefoilline.v1", content)
}
