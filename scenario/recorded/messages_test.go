package recorded_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/routing"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/streamproxy"
	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/ticket"
)

// roundTripFleetMessage decodes and encodes a message of the fleet.
func roundTripFleetMessage(content []byte) ([]byte, error) {
	message, err := fleet.Decode(content)
	if err != nil {
		return nil, err
	}
	return fleet.Encode(message)
}

// roundTripAllocation decodes and encodes an allocation of the limits.
func roundTripAllocation(content []byte) ([]byte, error) {
	a, err := globallimit.DecodeAllocation(content)
	if err != nil {
		return nil, err
	}
	return a.Encode()
}

// filled holds the names of the recorded files that have one value with every field
// set, and the functions that decode and encode it.
var filled = map[string]func([]byte) ([]byte, error){
	"entry/refusal":            roundTripJSON[streamproxy.ErrorResponse],
	"backend/health":           roundTripJSON[backend.Health],
	"fleet/poll":               roundTripFleetMessage,
	"fleet/poll-reply":         roundTripFleetMessage,
	"fleet/records-request":    roundTripFleetMessage,
	"fleet/records":            roundTripFleetMessage,
	"fleet/feed-request":       roundTripFleetMessage,
	"fleet/feed-reply":         roundTripFleetMessage,
	"fleet/record":             roundTripJSON[fleet.MemberRecord],
	"share/beat":               roundTripJSON[globallimit.Envelope],
	"share/propose":            roundTripJSON[globallimit.Envelope],
	"share/consent":            roundTripJSON[globallimit.Envelope],
	"share/ask":                roundTripJSON[globallimit.Envelope],
	"share/lend":               roundTripJSON[globallimit.Envelope],
	"share/recall":             roundTripJSON[globallimit.Envelope],
	"share/allocation":         roundTripAllocation,
	"steer/plan":               roundTripJSON[steer.Plan],
	"steer/report":             roundTripJSON[steer.Report],
	"suspect/loss":             roundTripJSON[crashdetect.Report],
	"roster/beat":              roundTripJSON[membership.Heartbeat],
	"roster/host":              roundTripJSON[membership.HostRecord],
	"routing/configuration":    roundTripJSON[routing.Configuration],
	"table/head":               roundTripJSON[table.Head],
	"table/manifest":           roundTripJSON[table.Manifest],
	"table/part":               roundTripJSON[table.Part],
	"table/table":              roundTripJSON[table.Table],
	"table/receipt":            roundTripJSON[table.PublishResult],
	"table/row-key":            roundTripJSON[table.RowKey],
	"team/record":              roundTripJSON[apikey.KeyRecord],
	"team/standing":            roundTripJSON[apikey.KeyState],
	"ticket/range":             roundTripJSON[ticket.Range],
	"objectstore/object":       roundTripJSON[objectstore.Object],
	"objectstore/changes":      roundTripJSON[objectstore.VersionedObjects],
	"objectstore/machine":      roundTripJSON[objectstore.Machine],
	"objectstore/written":      roundTripJSON[objectstore.WriteResponse],
	"objectstore/failure":      roundTripJSON[objectstore.ErrorResponse],
	"objectstore/object-list":  roundTripJSON[objectstore.ObjectList],
	"objectstore/machine-list": roundTripJSON[objectstore.MachineList],
	"objectstore/calls":        roundTripJSON[objectstore.CallCounts],
}

// TestFilledMessagesAreWrittenAsRecorded decodes messages and objects that have
// every field set, and requires that they encode to the same bytes. It detects a field
// that was renamed, moved or removed, and one that was added unless it is omitted when
// empty.
func TestFilledMessagesAreWrittenAsRecorded(t *testing.T) {
	for name, roundTrip := range filled {
		t.Run(name, func(t *testing.T) {
			file := "filled/" + name + ".json"
			encoded, err := roundTrip(readRecording(t, file))
			require.NoError(t, err)
			requireEqualsRecording(t, file, encoded)
		})
	}
}
