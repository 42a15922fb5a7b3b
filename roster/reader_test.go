package roster_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/roster"
)

func TestAllHostsOfARegionFindOneReader(t *testing.T) {
	const hosts = 9
	readers := make(map[string]struct{})
	for _, prefix := range []string{"a/", "b/", "c/", "d/", "e/", "f/"} {
		found := make(map[string]struct{})
		for self := range hosts {
			var live []roster.Heartbeat
			for n := range hosts {
				b := beat(n, 1, 1)
				if n != self {
					live = append(live, b)
				}
			}
			reader, isOther := roster.SelectStoreReader(prefix, "accra", record(self, "").Name, live)
			require.Equal(t, reader.Name != record(self, "").Name, isOther)
			found[reader.Name] = struct{}{}
			readers[reader.Name] = struct{}{}
		}
		require.Len(t, found, 1, prefix)
	}
	require.Greater(t, len(readers), 2, "the work is spread")
}

func TestAHostReadsItselfWithoutOthersThatStayInItsRegion(t *testing.T) {
	far := beat(1, 1, 1)
	far.Region = "kumasi"
	leaving := beat(2, 1, 1)
	leaving.Leaving = true
	_, isOther := roster.SelectStoreReader("a/", "accra", "host-0", []roster.Heartbeat{far, leaving})
	require.False(t, isOther)
}
