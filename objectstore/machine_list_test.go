package objectstore_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
)

// TestOddMachineHidesNoOthers guards against a host that no longer follows the list of machines because of one
// entry that can't be decoded.
func TestOddMachineHidesNoOthers(t *testing.T) {
	for _, odd := range []string{
		`{"name":"odd","address":"10.0.0.1:99999"}`,
		`{"name":"odd","slots":1e400}`,
		`{"name":7}`,
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"machines":[{"name":"a","address":"10.0.0.1:1"},%s,{"name":"z","address":"10.0.0.2:1"}]}`, odd)
		}))
		client := &objectstore.Client{
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		}
		machines, err := client.Machines(t.Context())
		server.Close()
		var invalid *objectstore.InvalidMachinesError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, 1, invalid.Count)
		require.Len(t, machines, 2)
		require.Equal(t, "z", machines[1].Name)
	}
}
