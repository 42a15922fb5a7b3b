package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// TestAListTellsWhetherItTakesSomethingAway replays what happens to one of three
// servers: what other hosts must not miss, and what is told by and by.
func TestAListTellsWhetherItTakesSomethingAway(t *testing.T) {
	const cold = 6 * time.Second
	started := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		change func(all []objectstore.Machine) []objectstore.Machine
		takes  bool
	}{
		"nothing": {
			change: func(all []objectstore.Machine) []objectstore.Machine { return all },
		},
		"grows warm": {
			change: func(all []objectstore.Machine) []objectstore.Machine { all[0].WarmUp = cold / 2; return all },
		},
		"another comes": {
			change: func(all []objectstore.Machine) []objectstore.Machine { return append(all, machine("accra", 9)) },
		},
		"turns cold": {
			change: func(all []objectstore.Machine) []objectstore.Machine { all[0].WarmUp = 2 * cold; return all },
			takes:  true,
		},
		"leaves": {
			change: func(all []objectstore.Machine) []objectstore.Machine { all[0].State = objectstore.Draining; return all },
			takes:  true,
		},
		"is gone": {
			change: func(all []objectstore.Machine) []objectstore.Machine { return all[1:] },
			takes:  true,
		},
		"started again": {
			change: func(all []objectstore.Machine) []objectstore.Machine { all[0].Started = started; return all },
			takes:  true,
		},
	} {
		all := machines(map[string]int{
			"accra": 3,
		})
		all[0].WarmUp = cold
		pool := newPool(nil)
		require.False(t, pool.SetServers(all), name)
		require.Equal(t, c.takes, pool.SetServers(c.change(append([]objectstore.Machine(nil), all...))), name)
	}
}
