package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

func TestFleetLimitsIncludeLinksAndLiveServers(t *testing.T) {
	server := objectstore.Machine{
		Kind:    objectstore.BackendServer,
		Region:  "accra",
		State:   objectstore.Live,
		Service: "storefront",
		Slots:   4,
	}
	leaving := server
	leaving.State = objectstore.Draining
	current := table.Table{
		Links: []table.Link{
			{
				From:         "accra",
				To:           "kumasi",
				Rate:         200,
				Burst:        50,
				MaxShiftRate: 20,
			},
		},
	}
	limits := steer.FleetLimits(current, []objectstore.Machine{server, server, leaving}, time.Minute)
	require.Equal(t, []globallimit.Limit{
		{
			Name: "link/accra/kumasi",
			Kind: globallimit.Rate{
				PerSecond: 200,
				Burst:     50,
			},
		},
		{
			Name: "shift/accra/kumasi",
			Kind: globallimit.Rate{
				PerSecond: 20,
				Burst:     20,
			},
		},
		{
			Name: "slots/storefront/accra",
			Kind: globallimit.Slots{
				Count:       8,
				MaxDuration: time.Minute,
			},
		},
	}, limits)
}

func TestSharedLimitsDenyUnknownLimit(t *testing.T) {
	limits := steer.SharedLimiter{
		Limiter: &globallimit.Limiter{
			Host: "entry-0",
		},
	}
	require.Equal(t, steer.Rejected{}, limits.Take("shift/accra/kumasi", 1))
}
