package bufferproxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

const limitHeader = "Test-Limit"

// TestServerThatNamesALimitIsPassedOver guards against limits in responses that never reach the
// pool, also if the response says that the request was not run.
func TestServerThatNamesALimitIsPassedOver(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"response": respondOK,
		"not run":  func(w http.ResponseWriter, r *http.Request) { writeNotRun(w, r, http.StatusServiceUnavailable) },
	} {
		t.Run(name, func(t *testing.T) {
			nameLimit := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(limitHeader, "0")
				respond(w, r)
			}
			host := newTestHost(t, nameLimit, respondOK)
			host.handler.HeaderCodec.ReadLimit = func(h http.Header) placement.LimitReport {
				if h.Get(limitHeader) == "" {
					return placement.Unlimited{}
				}
				return placement.LimitedTo{}
			}
			for range 3 {
				response, _ := host.send(host.request(http.MethodGet, "/stock/1", ""))
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			require.EqualValues(t, 1, host.requestCounts[0].Load())
		})
	}
}
