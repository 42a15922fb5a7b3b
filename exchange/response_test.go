package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
)

// startRawServer starts a server that sends the raw responses in order to the
// requests of each connection, and then closes the connection. The text REQUEST-ID
// in a response is replaced by the request's ID.
func startRawServer(t *testing.T, responses ...string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, responses)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func serveRaw(conn net.Conn, responses []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "REQUEST-ID", request.Header.Get(header.RequestID)))
	}
}

// brokenResponses has raw responses that are incomplete, ambiguous or meant for
// another request.
var brokenResponses = map[string]string{
	"short":            "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
	"no-last-chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	"in-chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
	"no-trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Check\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
	"trailer-cut":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Check\r\n\r\n4\r\nhalf\r\n0\r\nChe",
	"no-length":        "HTTP/1.1 200 OK\r\n\r\nhalf",
	"old-protocol":     "HTTP/1.0 200 OK\r\n\r\nhalf",
	"other-request's":  "HTTP/1.1 200 OK\r\nTrefoilline-Request: other\r\nContent-Length: 4\r\n\r\nhalf",
	"upgrade":          "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nhalf",
	"length-not-equal": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nhalf",
	"blank-in-name":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nBad Name: x\r\n\r\nhalf",
	"blank-at-colon":   "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nContent-Length: 4\r\n\r\nhalf",
	"interim-name":     "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
	"continue-name":    "HTTP/1.1 100 Continue\r\nName : x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
	"trailer-name":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nBad Name: x\r\n\r\n",
}

// forwardWithExchange returns a handler that forwards requests to the backend
// server with exchange.Client, as an entry host does.
func forwardWithExchange(client *exchange.Client, server netip.AddrPort) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := exchange.FromHTTP(r, "r1")
		request.APIKey = r.Header.Get(header.APIKey)
		switch o := client.Send(r.Context(), server, request).(type) {
		case *exchange.Response:
			defer o.Close()
			_ = exchange.Copy(w, o)
		case exchange.NotRun:
			w.Header().Set(header.NotRun, string(o.Reason()))
			w.WriteHeader(http.StatusServiceUnavailable)
		case *exchange.Unknown:
			w.Header().Set(header.OutcomeUnknown, string(o.Reason))
			w.WriteHeader(http.StatusBadGateway)
		}
	}
}

// forwardPlainly returns a handler that forwards requests with http.Client and
// io.Copy, and removes only the API key header.
func forwardPlainly(client *http.Client, server netip.AddrPort) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		outgoing := r.Clone(r.Context())
		outgoing.RequestURI = ""
		outgoing.URL.Scheme, outgoing.URL.Host = "http", server.String()
		outgoing.Header.Set(header.RequestID, "r1")
		outgoing.Header.Del(header.APIKey)
		if r.Trailer != nil {
			outgoing.Trailer = r.Trailer
		}
		response, err := client.Do(outgoing)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
}

// looksComplete reports whether a caller of the host gets what looks like a
// complete response with status 200.
func looksComplete(host netip.AddrPort) bool {
	response, err := http.Get("http://" + host.String() + "/packs")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// TestBrokenResponsesNeverLookComplete guards against a caller that takes a part
// of a response for the complete one. With a plain proxy some of the broken
// responses do look complete.
func TestBrokenResponsesNeverLookComplete(t *testing.T) {
	completeWithPlain, completeWithExchange := 0, 0
	for name, text := range brokenResponses {
		server := startRawServer(t, text)
		if looksComplete(startServer(t, forwardPlainly(http.DefaultClient, server))) {
			completeWithPlain++
		}
		if looksComplete(startServer(t, forwardWithExchange(newClient(t), server))) {
			completeWithExchange++
			t.Logf("broken response %s looks complete", name)
		}
	}
	t.Logf("of %d broken responses look complete: http.Client %d, exchange.Client %d", len(brokenResponses), completeWithPlain, completeWithExchange)
	require.Positive(t, completeWithPlain)
	require.Zero(t, completeWithExchange)
}

func TestCompleteResponsesAreForwarded(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Check\r\n\r\n4\r\nfull\r\n0\r\nCheck: yes\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTrefoilline-Request: REQUEST-ID\r\nContent-Length: 4\r\n\r\nfull",
	} {
		host := startServer(t, forwardWithExchange(newClient(t), startRawServer(t, text)))
		response, err := http.Get("http://" + host.String())
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, "full", string(body))
		if strings.Contains(text, "Check") {
			require.Equal(t, "yes", response.Trailer.Get("Check"))
		}
	}
}

func TestResponsesWithoutBodyAreForwarded(t *testing.T) {
	for text, method := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n":           http.MethodHead,
		"HTTP/1.1 200 OK\r\n\r\n":                                  http.MethodHead,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n": http.MethodGet,
		"HTTP/1.1 204 No Content\r\n\r\n":                          http.MethodDelete,
	} {
		outcome := newClient(t).Send(t.Context(), startRawServer(t, text), newRequest("r1", method, "/", nil))
		response, hasResponse := outcome.(*exchange.Response)
		require.True(t, hasResponse, text)
		require.NoError(t, exchange.Copy(httptest.NewRecorder(), response))
		response.Close()
	}
}

// TestDuplicateResponseIsNotTakenForResponseToNextRequest has a server that responds twice to a
// request. The second response waits on the connection, where it must not be taken
// for the response to the next request.
func TestDuplicateResponseIsNotTakenForResponseToNextRequest(t *testing.T) {
	withID := "HTTP/1.1 200 OK\r\nTrefoilline-Request: REQUEST-ID\r\nContent-Length: 4\r\n\r\nfull"
	withoutID := strings.ReplaceAll(withID, "Trefoilline-Request: REQUEST-ID\r\n", "")
	for _, text := range []string{withID, withoutID} {
		server := startRawServer(t, text, text+text, text, text)
		client := newClient(t)
		for range 20 {
			request := newRequest(time.Now().String(), http.MethodGet, "/", nil)
			request.Idempotent = true
			response, hasResponse := client.Send(t.Context(), server, request).(*exchange.Response)
			if !hasResponse {
				// The client may reject a response that it can't match.
				continue
			}
			if echoed := response.Header.Get(header.RequestID); echoed != "" {
				require.Equal(t, request.ID, echoed)
			}
			response.Close()
		}
	}
}

func TestRefusalWithoutTheRequestIDIsIgnored(t *testing.T) {
	for _, idLine := range []string{"", "Trefoilline-Request: other\r\n"} {
		text := "HTTP/1.1 503 No\r\nTrefoilline-Not-Run: shed\r\n" + idLine + "Content-Length: 0\r\n\r\n"
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		forwardWithExchange(newClient(t), startRawServer(t, text))(recorder, request)
		require.Empty(t, recorder.Header().Get(header.NotRun))
	}
}

func TestCloseOfUnreadResponseClosesConnection(t *testing.T) {
	server := &backend.Server{}
	address := startServer(t, server)
	client := newClient(t)
	for range 5 {
		request := newRequest("r1", http.MethodGet, "/?stand-in-size=1000000", nil)
		request.Idempotent = true
		response, hasResponse := client.Send(t.Context(), address, request).(*exchange.Response)
		require.True(t, hasResponse)
		response.Close()
		request = newRequest("r2", http.MethodGet, "/", nil)
		request.Idempotent = true
		response, hasResponse = client.Send(t.Context(), address, request).(*exchange.Response)
		require.True(t, hasResponse)
		body, err := io.ReadAll(response)
		require.NoError(t, err)
		require.Contains(t, string(body), `"request":"r2"`)
		response.Close()
	}
}

// TestResponseWithoutIDIsMismatchedIfServerEchoedIDsBefore has a server that first echoes request
// IDs and then sends a response without one. That response may belong to another
// request.
func TestResponseWithoutIDIsMismatchedIfServerEchoedIDsBefore(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		echoesID := true
		server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if echoesID {
				w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			}
		}))
		client := newClient(t)
		require.True(t, get(t.Context(), client, server, idempotent))
		echoesID = false
		request := newRequest("r2", http.MethodGet, "/", nil)
		request.Idempotent = idempotent
		outcome := client.Send(t.Context(), server, request)
		require.IsType(t, &exchange.Unknown{}, outcome)
		require.Equal(t, exchange.MismatchedResponse, outcome.(*exchange.Unknown).Reason)
	}
}

// TestConnectionsArePooledOnceServerEchoesIDs counts the connections that a series
// of requests opens to a server that echoes request IDs: one if ServersEchoID is
// set, and two if the client must see the first echo before it pools connections.
func TestConnectionsArePooledOnceServerEchoesIDs(t *testing.T) {
	for serversEchoID, expected := range map[bool]int64{
		true:  1,
		false: 2,
	} {
		var connections atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		client := newClient(t)
		client.ServersEchoID = serversEchoID
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		for range 5 {
			require.True(t, get(t.Context(), client, address, true))
		}
		require.Equal(t, expected, connections.Load(), "ServersEchoID: %v", serversEchoID)
	}
}

// TestResponseWithoutIDIsAcceptedOnlyOnNewConnection has a server that never echoes
// request IDs, although ServersEchoID is set.
func TestResponseWithoutIDIsAcceptedOnlyOnNewConnection(t *testing.T) {
	server := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	client := newClient(t)
	client.ServersEchoID = true
	require.True(t, get(t.Context(), client, server, true))
	request := newRequest("r2", http.MethodGet, "/", nil)
	request.Idempotent = true
	outcome := client.Send(t.Context(), server, request)
	require.IsType(t, &exchange.Unknown{}, outcome)
	require.Equal(t, exchange.MismatchedResponse, outcome.(*exchange.Unknown).Reason)
}

// TestRequiredIDIsCheckedOnNewConnections guards against the answer of a program that is no backend server, and has its
// address, being taken for the answer to a request.
func TestRequiredIDIsCheckedOnNewConnections(t *testing.T) {
	server := startServer(t, http.NotFoundHandler())
	client := newClient(t)
	client.RequireID = true
	outcome := client.Send(t.Context(), server, newRequest("r1", http.MethodGet, "/", nil))
	require.IsType(t, &exchange.Unknown{}, outcome)
	require.Equal(t, exchange.MismatchedResponse, outcome.(*exchange.Unknown).Reason)
}
