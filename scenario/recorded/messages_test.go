package recorded_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/roster"
	"trefoilline.example/trefoilline/routing"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/suspect"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
	"trefoilline.example/trefoilline/ticket"
)

// fleetMessage decodes and encodes a message of the fleet.
func fleetMessage(content []byte) ([]byte, error) {
	message, err := fleet.Decode(content)
	if err != nil {
		return nil, err
	}
	return fleet.Encode(message)
}

// allocation decodes and encodes the allocation of the limits.
func allocation(content []byte) ([]byte, error) {
	a, err := share.DecodeAllocation(content)
	if err != nil {
		return nil, err
	}
	return a.Encode()
}

// filled names the recorded files that hold one value with every field set, and
// how the product decodes and encodes it.
var filled = map[string]func([]byte) ([]byte, error){
	"entry/refusal":            again[entry.Refusal],
	"backend/health":           again[backend.Health],
	"fleet/poll":               fleetMessage,
	"fleet/poll-reply":         fleetMessage,
	"fleet/records-request":    fleetMessage,
	"fleet/records":            fleetMessage,
	"fleet/feed-request":       fleetMessage,
	"fleet/feed-reply":         fleetMessage,
	"fleet/record":             again[fleet.MemberRecord],
	"share/beat":               again[share.Envelope],
	"share/propose":            again[share.Envelope],
	"share/consent":            again[share.Envelope],
	"share/ask":                again[share.Envelope],
	"share/lend":               again[share.Envelope],
	"share/recall":             again[share.Envelope],
	"share/allocation":         allocation,
	"steer/plan":               again[steer.Plan],
	"steer/report":             again[steer.Report],
	"suspect/loss":             again[suspect.Report],
	"roster/beat":              again[roster.Heartbeat],
	"roster/host":              again[roster.HostRecord],
	"routing/configuration":    again[routing.Configuration],
	"table/head":               again[table.Head],
	"table/manifest":           again[table.Manifest],
	"table/part":               again[table.Part],
	"table/table":              again[table.Table],
	"table/receipt":            again[table.PublishResult],
	"table/row-key":            again[table.RowKey],
	"team/record":              again[team.Record],
	"team/standing":            again[team.Standing],
	"ticket/range":             again[ticket.Range],
	"objectstore/object":       again[objectstore.Object],
	"objectstore/changes":      again[objectstore.Changes],
	"objectstore/machine":      again[objectstore.Machine],
	"objectstore/written":      again[objectstore.WriteResponse],
	"objectstore/failure":      again[objectstore.ErrorResponse],
	"objectstore/object-list":  again[objectstore.ObjectList],
	"objectstore/machine-list": again[objectstore.MachineList],
	"objectstore/calls":        again[objectstore.CallCounts],
}

// TestFilledMessagesAreWrittenAsRecorded decodes messages and objects that have
// every field set, and encodes them to the same bytes: a field that is renamed,
// moved or left out shows. So does one that is added, unless it is left out when
// it is empty.
func TestFilledMessagesAreWrittenAsRecorded(t *testing.T) {
	for name, decodeAndEncode := range filled {
		t.Run(name, func(t *testing.T) {
			file := "filled/" + name + ".json"
			encoded, err := decodeAndEncode(recorded(t, file))
			require.NoError(t, err)
			requireRecorded(t, file, encoded)
		})
	}
}
