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

// healthFunc is an http.RoundTripper that returns the health response of an address.
type healthFunc func(address string) string

func (h healthFunc) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(strings.NewReader(h(r.URL.Host))),
	}, nil
}

func TestProberDetectsDrainingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := servers("storefront", "accra", 3)
		drainStart := time.Now().Add(5 * time.Second)
		pool := &backend.Pool{}
		pool.SetMachines(machines)
		prober := &backend.Prober{
			Pool: pool,
			Client: &http.Client{
				Transport: healthFunc(func(address string) string {
					switch {
					case address == machines[1].Address.String():
						return "not a health response"
					case address == machines[0].Address.String() && time.Now().After(drainStart):
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
		for _, status := range pool.Servers() {
			if status.Server == machines[0].Name {
				require.Equal(t, backend.Draining, status.State)
				continue
			}
			require.Equal(t, backend.Live, status.State)
		}
	})
}

func TestEachServerHasAFixedNumberOfProbers(t *testing.T) {
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
