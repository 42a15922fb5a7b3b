package membership_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/membership"
)

func TestAllHostsOfRegionSelectTheSameStoreReader(t *testing.T) {
	const hosts = 9
	readers := make(map[string]struct{})
	for _, prefix := range []string{"a/", "b/", "c/", "d/", "e/", "f/"} {
		selected := make(map[string]struct{})
		for self := range hosts {
			var live []membership.Heartbeat
			for n := range hosts {
				hb := heartbeat(n, 1, 1)
				if n != self {
					live = append(live, hb)
				}
			}
			reader, isOther := membership.SelectStoreReader(prefix, "accra", record(self, "").Name, live)
			require.Equal(t, reader.Name != record(self, "").Name, isOther)
			selected[reader.Name] = struct{}{}
			readers[reader.Name] = struct{}{}
		}
		require.Len(t, selected, 1, prefix)
	}
	require.Greater(t, len(readers), 2, "the prefixes must be spread over the hosts")
}

func TestHostReadsStoreItselfWhenNoOtherHostInRegionIsEligible(t *testing.T) {
	far := heartbeat(1, 1, 1)
	far.Region = "kumasi"
	leaving := heartbeat(2, 1, 1)
	leaving.Draining = true
	_, isOther := membership.SelectStoreReader("a/", "accra", "host-0", []membership.Heartbeat{far, leaving})
	require.False(t, isOther)
}
