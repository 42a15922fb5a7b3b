package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/objectstore"
)

// TestRelayPassesOnVersionsThatItLacks guards against a change that reaches the hosts of a region
// only after each relay on the way has read it: a relay may be slow, or end before it has.
func TestRelayPassesOnVersionsThatItLacks(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := &membership.Roster{
		Self:  "host-1",
		Clock: func() time.Time { return now },
	}
	require.True(t, relay.ReceiveDigest(membership.Digest{
		Relay:       record(2, "kumasi"),
		Incarnation: 1,
		Sequence:    1,
		Version:     1,
		StoreVersions: map[string]objectstore.Version{
			"config/":  285,
			"servers/": 280,
		},
	}))
	ofOwnRegion := heartbeat(3, 1, 1)
	ofOwnRegion.StoreVersions = map[string]objectstore.Version{
		"evacuations/": 283,
	}
	require.True(t, relay.Receive(ofOwnRegion))
	own := heartbeat(1, 1, 1)
	own.StoreVersions = map[string]objectstore.Version{
		"config/":      284,
		"servers/":     284,
		"evacuations/": 2,
	}
	var publisher membership.Publisher
	publisher.Update(own, relay)
	require.Equal(t, map[string]objectstore.Version{
		"config/":      285,
		"servers/":     284,
		"evacuations/": 283,
	}, publisher.DigestFor(record(4, "accra")).StoreVersions)
	// What another region told is not passed on to a third one.
	require.Equal(t, map[string]objectstore.Version{
		"config/":      284,
		"servers/":     284,
		"evacuations/": 283,
	}, publisher.DigestFor(record(5, "tamale")).StoreVersions)
	require.EqualValues(t, 2, own.StoreVersions["evacuations/"], "the heartbeat has changed")
}
