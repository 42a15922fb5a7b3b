package bufferproxy_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestResponseWithAnInvalidFieldNameIsNotPassedOn guards against callers that get a response whose head has a field name that HTTP does not
// allow: without that line, or with the body that is left if the line is ignored. It has each line at each place of a head.
func TestResponseWithAnInvalidFieldNameIsNotPassedOn(t *testing.T) {
	frames := map[string]string{
		"length":  "Content-Length: 4\r\n%s\r\nbody",
		"close":   "%s\r\nbody",
		"chunked": "Transfer-Encoding: chunked\r\n%s\r\n4\r\nbody\r\n0\r\n\r\n",
		"trailer": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s\r\n",
	}
	for _, line := range []string{
		"Bad Name: x", "Name : x", "Content-Length : 5", "Transfer-Encoding : chunked", completeMarkerHeader + " x: proof", ": x", "Na\x00me: x",
		"Na\x01me: x", "Na\x7fme: x", "Name\t: x", "Na\xe9me: x", "(Name): x", "Name: \x00", "no colon",
	} {
		for frame, rest := range frames {
			host := newTestHost(t, rawResponse(t, func(c *bufio.ReadWriter, head string) {
				_, _ = fmt.Fprintf(c, head+rest, line+"\r\n")
			}, false))
			response, body := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "%q in %s", line, frame)
			require.NotContains(t, body, "body")
			require.Zero(t, host.handler.Memory.Usage().Used)
		}
		for _, status := range []string{"100 Continue", "103 Early Hints"} {
			host := newTestHost(t, rawResponse(t, func(c *bufio.ReadWriter, head string) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s\r\n\r\n%sContent-Length: 4\r\n\r\nbody", status, line, head)
			}, false))
			response, _ := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "%q in %s", line, status)
		}
	}
}
