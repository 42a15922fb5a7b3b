package bufferproxy_test

import (
	"bufio"
	"io"
	"net"
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

// TestInvalidStatusOfAnUploadIsNotPassedOn has a server answer a long upload with status 000, after the body and before it, on both paths to
// a server. A caller whose host does not read the rest of its body may find its connection closed.
func TestInvalidStatusOfAnUploadIsNotPassedOn(t *testing.T) {
	write := func(c *bufio.ReadWriter, head string) {
		_, _ = c.WriteString(strings.Replace(head, "200 OK", "000", 1) + "Content-Length: 4\r\n\r\nbody")
	}
	readOn := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	for path, host := range newUploadHosts(t, rawResponse(t, write, false)) {
		response, _, err := host.upload()
		require.NoError(t, err, path)
		require.Equal(t, http.StatusBadGateway, response.StatusCode, path)
	}
	for path, host := range newUploadHosts(t, earlyResponse(write, readOn)) {
		if response, _, err := host.upload(); err == nil {
			require.Equal(t, http.StatusBadGateway, response.StatusCode, path)
		}
	}
}
