package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// TestSetServersReportsReducedCapacity changes one of three servers. A change that
// may reduce capacity must reach the other hosts at once, and must therefore be
// reported; other changes must not be.
func TestSetServersReportsReducedCapacity(t *testing.T) {
	const coldTime = 6 * time.Second
	started := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		change  func(all []objectstore.Machine) []objectstore.Machine
		reduces bool
	}{
		"nothing": {
			change: func(all []objectstore.Machine) []objectstore.Machine { return all },
		},
		"warms up": {
			change: func(all []objectstore.Machine) []objectstore.Machine { all[0].WarmUp = coldTime / 2; return all },
		},
		"another server joins": {
			change: func(all []objectstore.Machine) []objectstore.Machine { return append(all, newServer("accra", 9)) },
		},
		"becomes cold": {
			change:  func(all []objectstore.Machine) []objectstore.Machine { all[0].WarmUp = 2 * coldTime; return all },
			reduces: true,
		},
		"leaves": {
			change:  func(all []objectstore.Machine) []objectstore.Machine { all[0].State = objectstore.Draining; return all },
			reduces: true,
		},
		"is no longer listed": {
			change:  func(all []objectstore.Machine) []objectstore.Machine { return all[1:] },
			reduces: true,
		},
		"is restarted": {
			change:  func(all []objectstore.Machine) []objectstore.Machine { all[0].Started = started; return all },
			reduces: true,
		},
	} {
		all := newServers(map[string]int{
			"accra": 3,
		})
		all[0].WarmUp = coldTime
		pool := newPool(nil)
		require.False(t, pool.SetServers(all), name)
		require.Equal(t, c.reduces, pool.SetServers(c.change(append([]objectstore.Machine(nil), all...))), name)
	}
}
