package backend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/backend"
)

// health answers probes without a network.
type health func(address string) string

func (h health) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(strings.NewReader(h(r.URL.Host))),
	}, nil
}

func TestProberFindsLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := servers("storefront", "accra", 3)
		leaving := time.Now().Add(5 * time.Second)
		pool := &backend.Pool{}
		pool.SetMachines(machines)
		prober := &backend.Prober{
			Pool: pool,
			Client: &http.Client{
				Transport: health(func(address string) string {
					switch {
					case address == machines[1].Address.String():
						return "not a health answer"
					case address == machines[0].Address.String() && time.Now().After(leaving):
						return `{"state":"draining","running":1,"slots":4}`
					}
					return `{"state":"live","running":1,"slots":4}`
				}),
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go prober.Run(ctx)
		time.Sleep(5*time.Second + backend.DrainGracePeriod)
		cancel()
		synctest.Wait()
		for _, v := range pool.Servers() {
			if v.Server == machines[0].Name {
				require.Equal(t, backend.Draining, v.State)
				continue
			}
			require.Equal(t, backend.Live, v.State)
		}
	})
}

func TestEachServerHasProbers(t *testing.T) {
	var hosts []string
	for i := range 40 {
		hosts = append(hosts, fmt.Sprintf("entry-%d", i))
	}
	count := 0
	for _, host := range hosts {
		if backend.ShouldProbe("storefront-1", host, hosts) {
			count++
		}
	}
	require.Equal(t, backend.ProbersPerServer, count)
}
