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

// script answers the requests of each connection with the texts in turn, in
// which NAME stands for the request's name, and then closes it.
func script(t *testing.T, answers ...string) netip.AddrPort {
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
			go answerScript(conn, answers)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func answerScript(conn net.Conn, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, text := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "NAME", request.Header.Get(header.RequestID)))
	}
}

// broken lists answers that are not whole.
var broken = map[string]string{
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
}

// entryHost forwards to the backend server through the client.
func entryHost(client *exchange.Client, server netip.AddrPort) http.HandlerFunc {
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

// naiveHost forwards with an http.Client and io.Copy, and removes only the key's
// own header.
func naiveHost(client *http.Client, server netip.AddrPort) http.HandlerFunc {
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

// seemsWhole tells whether a caller takes the answer for a whole 200.
func seemsWhole(host netip.AddrPort) bool {
	response, err := http.Get("http://" + host.String() + "/packs")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func TestBrokenAnswersNeverSeemWhole(t *testing.T) {
	naive, gated := 0, 0
	for name, text := range broken {
		server := script(t, text)
		if seemsWhole(start(t, naiveHost(http.DefaultClient, server))) {
			naive++
		}
		if seemsWhole(start(t, entryHost(newClient(t), server))) {
			gated++
			t.Logf("%s seems whole", name)
		}
	}
	t.Logf("of %d broken answers seem whole: plain %d, exchange %d", len(broken), naive, gated)
	require.Positive(t, naive)
	require.Zero(t, gated)
}

func TestWholeAnswersPass(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Check\r\n\r\n4\r\nfull\r\n0\r\nCheck: yes\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTrefoilline-Request: NAME\r\nContent-Length: 4\r\n\r\nfull",
	} {
		host := start(t, entryHost(newClient(t), script(t, text)))
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

func TestAnswersWithoutBodyPass(t *testing.T) {
	for text, method := range map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n":           http.MethodHead,
		"HTTP/1.1 200 OK\r\n\r\n":                                  http.MethodHead,
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 100\r\n\r\n": http.MethodGet,
		"HTTP/1.1 204 No Content\r\n\r\n":                          http.MethodDelete,
	} {
		outcome := newClient(t).Send(t.Context(), script(t, text), newRequest("r1", method, "/", nil))
		answered, isAnswered := outcome.(*exchange.Response)
		require.True(t, isAnswered, text)
		require.NoError(t, exchange.Copy(httptest.NewRecorder(), answered))
		answered.Close()
	}
}

// TestDuplicatedAnswerCrossesNothing has a server that answers a request twice,
// so that the second answer waits on the connection for the next request.
func TestDuplicatedAnswerCrossesNothing(t *testing.T) {
	named := "HTTP/1.1 200 OK\r\nTrefoilline-Request: NAME\r\nContent-Length: 4\r\n\r\nfull"
	unnamed := strings.ReplaceAll(named, "Trefoilline-Request: NAME\r\n", "")
	for _, text := range []string{named, unnamed} {
		server := script(t, text, text+text, text, text)
		client := newClient(t)
		for range 20 {
			request := newRequest(time.Now().String(), http.MethodGet, "/", nil)
			request.Idempotent = true
			answered, isAnswered := client.Send(t.Context(), server, request).(*exchange.Response)
			if !isAnswered {
				continue
			}
			if echoed := answered.Header.Get(header.RequestID); echoed != "" {
				require.Equal(t, request.ID, echoed)
			}
			answered.Close()
		}
	}
}

func TestRefusalOfAnotherRequestDoesNotCount(t *testing.T) {
	for _, name := range []string{"", "Trefoilline-Request: other\r\n"} {
		text := "HTTP/1.1 503 No\r\nTrefoilline-Not-Run: shed\r\n" + name + "Content-Length: 0\r\n\r\n"
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		entryHost(newClient(t), script(t, text))(recorder, request)
		require.Empty(t, recorder.Header().Get(header.NotRun))
	}
}

func TestAbandonedAnswerClosesItsConnection(t *testing.T) {
	server := &backend.Server{}
	address := start(t, server)
	client := newClient(t)
	for range 5 {
		request := newRequest("r1", http.MethodGet, "/?stand-in-size=1000000", nil)
		request.Idempotent = true
		answered, isAnswered := client.Send(t.Context(), address, request).(*exchange.Response)
		require.True(t, isAnswered)
		answered.Close()
		request = newRequest("r2", http.MethodGet, "/", nil)
		request.Idempotent = true
		answered, isAnswered = client.Send(t.Context(), address, request).(*exchange.Response)
		require.True(t, isAnswered)
		body, err := io.ReadAll(answered)
		require.NoError(t, err)
		require.Contains(t, string(body), `"request":"r2"`)
		answered.Close()
	}
}

// TestEchoingServerMustGoOnEchoing has a server that named its answers give one
// without a name: it may be another request's.
func TestEchoingServerMustGoOnEchoing(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		names := true
		server := start(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if names {
				w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
			}
		}))
		client := newClient(t)
		require.True(t, get(t.Context(), client, server, idempotent))
		names = false
		request := newRequest("r2", http.MethodGet, "/", nil)
		request.Idempotent = idempotent
		outcome := client.Send(t.Context(), server, request)
		require.IsType(t, &exchange.Unknown{}, outcome)
		require.Equal(t, exchange.MismatchedResponse, outcome.(*exchange.Unknown).Reason)
	}
}

// TestConnectionsAreKeptFromTheFirstAnswerOn counts the connections of requests to
// a server that echoes names: one if that is known of all, two if it must be seen.
func TestConnectionsAreKeptFromTheFirstAnswerOn(t *testing.T) {
	for allEcho, expected := range map[bool]int64{
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
		client.ServersEchoID = allEcho
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		for range 5 {
			require.True(t, get(t.Context(), client, address, true))
		}
		require.Equal(t, expected, connections.Load(), "all echo: %v", allEcho)
	}
}

// TestAnUnnamedAnswerCountsOnlyOnANewConnection has a server that never names its
// answers, though all are said to.
func TestAnUnnamedAnswerCountsOnlyOnANewConnection(t *testing.T) {
	server := start(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	client := newClient(t)
	client.ServersEchoID = true
	require.True(t, get(t.Context(), client, server, true))
	request := newRequest("r2", http.MethodGet, "/", nil)
	request.Idempotent = true
	outcome := client.Send(t.Context(), server, request)
	require.IsType(t, &exchange.Unknown{}, outcome)
	require.Equal(t, exchange.MismatchedResponse, outcome.(*exchange.Unknown).Reason)
}
