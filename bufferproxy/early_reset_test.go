package bufferproxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/routing"
)

// earlyResponse responds with a raw response before it reads the body, and then ends the connection with the function.
func earlyResponse(write func(c *bufio.ReadWriter, head string), end func(*net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		connection, stream, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		write(stream, "HTTP/1.1 200 OK\r\n"+requestIDHeader+": "+r.Header.Get(requestIDHeader)+"\r\n"+completeMarkerHeader+": proof\r\n")
		_ = stream.Flush()
		end(connection.(*net.TCPConn))
	}
}

// newUploadHosts returns hosts that accept long uploads for the server: one in front of it, and one that reaches it by way of another host.
func newUploadHosts(t *testing.T, server http.HandlerFunc) map[string]*testHost {
	direct, other := newTestHost(t, server), newTestHost(t, server)
	withLongBodies := configuration()
	withLongBodies.Version++
	withLongBodies.Limits.MaxBodyBytes = 2 * longBodyBytes
	for i := range withLongBodies.Routes {
		withLongBodies.Routes[i].Timeout = time.Minute
	}
	hosts := map[string]*testHost{
		"direct":            direct,
		"through a further": newCutOffHost(t, other),
	}
	for _, host := range []*testHost{direct, other, hosts["through a further"]} {
		host.handler.SetConfiguration(routing.NewIndex(withLongBodies))
	}
	return hosts
}

// upload sends a long body. It returns the response, and the error if the response or a part of it did not arrive.
func (host *testHost) upload() (*http.Response, string, error) {
	response, err := http.DefaultTransport.RoundTrip(host.request(http.MethodPost, "/orders/17", strings.Repeat("x", longBodyBytes)))
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// TestPartOfAResponseToAnUploadIsNotPassedOn guards against callers that get the part of a response before a reset as the whole, on both
// paths to a server.
func TestPartOfAResponseToAnUploadIsNotPassedOn(t *testing.T) {
	const uploads = 8
	part := func(c *bufio.ReadWriter, head string) {
		_, _ = c.WriteString(head + "\r\n" + strings.Repeat("a", 20_000))
	}
	reset := func(c *net.TCPConn) {
		time.Sleep(100 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	for path, host := range newUploadHosts(t, earlyResponse(part, reset)) {
		t.Run(path, func(t *testing.T) {
			var group errgroup.Group
			for range uploads {
				group.Go(func() error {
					// The caller may also lose its connection while it sends.
					if response, body, err := host.upload(); err == nil && response.StatusCode != http.StatusBadGateway {
						t.Errorf("status %d with %d bytes", response.StatusCode, len(body))
					}
					return nil
				})
			}
			require.NoError(t, group.Wait())
		})
	}
}
