package bufferproxy_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponseWithAnInvalidStatusIsNotPassedOn guards against callers that get an answer with a status that HTTP does not have, or whose
// connection is closed because the handler panics, and against memory of such an answer that is never released.
func TestResponseWithAnInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "001", "+12", "099", "-12", "600", "999", "1000", "+200", "2e2", "OK"} {
		host := newTestHost(t, rawResponse(t, func(c *bufio.ReadWriter, head string) {
			head = strings.Replace(head, "200", status, 1)
			_, _ = c.WriteString(head + "Content-Length: 4\r\n\r\nbody")
		}, false))
		response, body := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
		require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s: %s", status, body)
		require.NotContains(t, body, "body")
		require.Zero(t, host.handler.Memory.Usage().Used, status)
	}
}
