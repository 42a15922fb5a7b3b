package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// startEarlyServer starts a server that responds before it reads the body, without a length, and
// then ends each connection with the function.
func startEarlyServer(t *testing.T, status string, bodyBytes int, end func(connection *net.TCPConn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(connection *net.TCPConn) {
		defer connection.Close()
		request, err := http.ReadRequest(bufio.NewReaderSize(connection, 512))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(connection, "%s\r\n%s: %s\r\n\r\n%s", status, header.RequestID, request.Header.Get(header.RequestID),
			strings.Repeat("a", bodyBytes))
		end(connection)
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// pacedReader has bytes without end, and waits before each read.
type pacedReader struct {
	delay time.Duration
}

func (r pacedReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	return len(p), nil
}

// upload sends an upload of the length at the pace and returns how many bytes of the response it read, and the error if that is not whole.
func upload(t *testing.T, client *exchange.Client, server netip.AddrPort, length int64, delay time.Duration) (int, error) {
	request := newRequest(t.Name(), http.MethodPost, "/", nil)
	request.Body = &exchange.Stream{
		Reader: io.LimitReader(pacedReader{
			delay: delay,
		}, length),
		Length: length,
	}
	response, isResponse := client.Send(t.Context(), server, request).(*exchange.Response)
	if !isResponse {
		return 0, io.ErrUnexpectedEOF
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return len(body), err
}

// TestResetDuringAnUploadDoesNotEndAResponse guards against a part of a response that is taken for the whole: the write of the request
// gets the error of the connection, and the read gets the plain end, which ends a response without a length.
func TestResetDuringAnUploadDoesNotEndAResponse(t *testing.T) {
	const (
		uploads   = 12
		bodyBytes = 20_000
	)
	wait := func() { time.Sleep(100 * time.Millisecond) }
	reset := func(c *net.TCPConn) {
		wait()
		_ = c.SetLinger(0)
	}
	paces := map[string]time.Duration{
		"fast": 0,
		"slow": 5 * time.Millisecond,
	}
	for name, c := range map[string]struct {
		status  string
		end     func(*net.TCPConn)
		isWhole bool
	}{
		"reset": {
			status: "HTTP/1.1 200 OK",
			end:    reset,
		},
		"old protocol": {
			status: "HTTP/1.0 500 No",
			end:    reset,
		},
		// A close with unread bytes resets the connection.
		"unread bytes": {
			status: "HTTP/1.1 200 OK",
			end:    func(*net.TCPConn) { wait() },
		},
		"read on": {
			status: "HTTP/1.1 200 OK",
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			},
			isWhole: true,
		},
		"reset after the end": {
			status: "HTTP/1.1 200 OK",
			end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				// The response must have been read, since a write that fails closes the connection.
				time.Sleep(time.Second)
			},
			isWhole: true,
		},
	} {
		for pace, delay := range paces {
			t.Run(name+" "+pace, func(t *testing.T) {
				server := startEarlyServer(t, c.status, bodyBytes, c.end)
				client := newClient(t)
				client.AllowCloseDelimited = true
				var group errgroup.Group
				for range uploads {
					group.Go(func() error {
						received, err := upload(t, client, server, 12<<20, delay)
						if isWhole := err == nil; isWhole != c.isWhole || isWhole && received != bodyBytes {
							t.Errorf("%d bytes, error: %v", received, err)
						}
						return nil
					})
				}
				require.NoError(t, group.Wait())
			})
		}
	}
}
