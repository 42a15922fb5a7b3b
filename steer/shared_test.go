package steer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

func TestFleetLimits(t *testing.T) {
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
				From:     "accra",
				To:       "kumasi",
				Rate:     200,
				Burst:    50,
				ShiftCap: 20,
			},
		},
	}
	limits := steer.FleetLimits(current, []objectstore.Machine{server, server, leaving}, time.Minute)
	require.Equal(t, []share.Limit{
		{
			Name: "link/accra/kumasi",
			Kind: share.Rate{
				PerSecond: 200,
				Burst:     50,
			},
		},
		{
			Name: "shift/accra/kumasi",
			Kind: share.Rate{
				PerSecond: 20,
				Burst:     20,
			},
		},
		{
			Name: "slots/storefront/accra",
			Kind: share.Slots{
				Count:       8,
				MaxDuration: time.Minute,
			},
		},
	}, limits)
}

func TestLimitThatTheTableLacksDenies(t *testing.T) {
	limits := steer.SharedLimits{
		Holder: &share.Limiter{
			Host: "entry-0",
		},
	}
	require.Equal(t, steer.Denied{}, limits.Take("shift/accra/kumasi", 1))
}
