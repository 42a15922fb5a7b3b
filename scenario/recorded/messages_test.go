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
	a, err := globallimit.DecodeAllocation(content)
	if err != nil {
		return nil, err
	}
	return a.Encode()
}

// filled names the recorded files that hold one value with every field set, and
// how the product decodes and encodes it.
var filled = map[string]func([]byte) ([]byte, error){
	"entry/refusal":            again[streamproxy.ErrorResponse],
	"backend/health":           again[backend.Health],
	"fleet/poll":               fleetMessage,
	"fleet/poll-reply":         fleetMessage,
	"fleet/records-request":    fleetMessage,
	"fleet/records":            fleetMessage,
	"fleet/feed-request":       fleetMessage,
	"fleet/feed-reply":         fleetMessage,
	"fleet/record":             again[fleet.MemberRecord],
	"share/beat":               again[globallimit.Envelope],
	"share/propose":            again[globallimit.Envelope],
	"share/consent":            again[globallimit.Envelope],
	"share/ask":                again[globallimit.Envelope],
	"share/lend":               again[globallimit.Envelope],
	"share/recall":             again[globallimit.Envelope],
	"share/allocation":         allocation,
	"steer/plan":               again[steer.Plan],
	"steer/report":             again[steer.Report],
	"suspect/loss":             again[crashdetect.Report],
	"roster/beat":              again[membership.Heartbeat],
	"roster/host":              again[membership.HostRecord],
	"routing/configuration":    again[routing.Configuration],
	"table/head":               again[table.Head],
	"table/manifest":           again[table.Manifest],
	"table/part":               again[table.Part],
	"table/table":              again[table.Table],
	"table/receipt":            again[table.PublishResult],
	"table/row-key":            again[table.RowKey],
	"team/record":              again[apikey.KeyRecord],
	"team/standing":            again[apikey.KeyState],
	"ticket/range":             again[ticket.Range],
	"objectstore/object":       again[objectstore.Object],
	"objectstore/changes":      again[objectstore.VersionedObjects],
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
