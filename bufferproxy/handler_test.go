package bufferproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/bufferproxy"
	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// The names of the headers in these tests.
const (
	requestIDHeader      = "Test-Request"
	timeoutHeader        = "Test-Left"
	notRunHeader         = "Test-Not-Run"
	targetHeader         = "Test-Target"
	teamHeader           = "Test-Team"
	apiKeyHeader         = "Test-Key"
	completeMarkerHeader = "Test-Proof"
	affinityHeader       = "Test-Object"
)

func headerCodec() bufferproxy.HeaderCodec {
	return bufferproxy.HeaderCodec{
		Dialect: header.Dialect{
			RequestID:      requestIDHeader,
			Timeout:        timeoutHeader,
			FormatTimeout:  func(timeout time.Duration) string { return strconv.FormatInt(timeout.Milliseconds(), 10) },
			NotRun:         notRunHeader,
			TargetServer:   targetHeader,
			Team:           teamHeader,
			APIKey:         apiKeyHeader,
			CompleteMarker: completeMarkerHeader,
		},
		ReadAPIKey: func(r *http.Request) string { return r.Header.Get(apiKeyHeader) },
		ReadTimeout: func(r *http.Request) time.Duration {
			// A missing header means no timeout.
			timeout, _ := strconv.Atoi(r.Header.Get(timeoutHeader))
			return time.Duration(timeout) * time.Millisecond
		},
		ReadAffinityKey:  func(r *http.Request) string { return r.Header.Get(affinityHeader) },
		ReadLoad:         func(http.Header) *placement.LoadReport { return nil },
		FormatRetryAfter: func(wait time.Duration) string { return wait.String() },
	}
}

// writeResponse responds to a request as a healthy backend server does.
func writeResponse(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.Header().Set(completeMarkerHeader, "proof")
	_, _ = io.WriteString(w, body)
}

// writeNotRun responds that the request was not run.
func writeNotRun(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(status)
}

// testHost is an entry host that serves requests with a handler, and its backend
// servers.
type testHost struct {
	t         *testing.T
	handler   *bufferproxy.Handler
	entryHost *httptest.Server
	servers   []objectstore.Machine
	// requestCounts counts the requests that each server received.
	requestCounts []*atomic.Int64
}

func configuration() routing.Configuration {
	return routing.Configuration{
		Version: 3,
		Routes: []routing.Route{
			{
				Name:          "stock",
				Host:          "shop.example",
				Prefix:        "/stock/",
				RetryPolicy:   routing.Idempotent,
				Timeout:       2 * time.Second,
				LatencyTarget: time.Second,
				MaxServers:    2,
				Affinity:      true,
				Destinations:  []routing.Destination{{Service: "catalogue", Weight: 1}},
			},
			{
				Name:          "orders",
				Host:          "shop.example",
				Prefix:        "/orders/",
				RetryPolicy:   routing.AtMostOnce,
				Timeout:       2 * time.Second,
				LatencyTarget: time.Second,
				MaxServers:    2,
				Destinations:  []routing.Destination{{Service: "catalogue", Weight: 1}},
			},
			{
				Name:          "open",
				Host:          "shop.example",
				Prefix:        "/open/",
				RetryPolicy:   routing.Idempotent,
				Timeout:       200 * time.Millisecond,
				LatencyTarget: 100 * time.Millisecond,
				MaxServers:    1,
				Public:        true,
				Destinations:  []routing.Destination{{Service: "catalogue", Weight: 1}},
			},
		},
		Services: []routing.Service{{Name: "catalogue"}},
		Teams: []routing.Team{
			{
				Name: "north",
				Keys: []string{"good-key"},
			},
			{
				Name:  "small",
				Keys:  []string{"small-key"},
				Rate:  1,
				Burst: 1,
			},
		},
		Limits: routing.Limits{
			MaxBodyBytes: 1000,
		},
	}
}

// newTestHost starts a backend server for each handler, and an entry host in front of
// them. The servers are in the order in which the host prefers them for requests with
// the affinity key "17".
func newTestHost(t *testing.T, handlers ...http.HandlerFunc) *testHost {
	host := &testHost{
		t: t,
	}
	var machines []objectstore.Machine
	for i := range handlers {
		machines = append(machines, objectstore.Machine{
			Name:    fmt.Sprintf("server-%d", i),
			Region:  "accra",
			State:   objectstore.Live,
			Service: "catalogue",
			Slots:   4,
		})
	}
	machines = sortByPreference(t, machines)
	for i, handle := range handlers {
		count := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			handle(w, r)
		}))
		t.Cleanup(server.Close)
		machines[i].Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		host.requestCounts = append(host.requestCounts, count)
	}
	host.servers = machines
	host.start()
	return host
}

// sortByPreference sorts servers by the order in which the pool prefers them for requests
// on the route "stock" with the affinity key "17".
func sortByPreference(t *testing.T, servers []objectstore.Machine) []objectstore.Machine {
	var sorted []objectstore.Machine
	for remaining := servers; len(remaining) > 0; {
		pool := &placement.Pool{
			Region: "accra",
		}
		pool.SetServers(remaining)
		reservation, err := pool.Acquire(t.Context(), placement.Request{
			Service:     "catalogue",
			Route:       "stock",
			AffinityKey: "17",
		})
		require.NoError(t, err)
		sorted = append(sorted, reservation.Server)
		var rest []objectstore.Machine
		for _, s := range remaining {
			if s.Name != reservation.Server.Name {
				rest = append(rest, s)
			}
		}
		remaining = rest
	}
	return sorted
}

// start starts an entry host in front of the servers.
func (host *testHost) start() {
	pool := &placement.Pool{
		Region: "accra",
	}
	pool.SetServers(host.servers)
	now := time.Now()
	limiter := &quota.Limiter{
		Clock: func() time.Time { return now },
	}
	limiter.SetTeams(configuration().Teams)
	// There are no other hosts, so that this host has the whole rate of each team.
	limiter.SetDivision(quota.Division{
		Self:    "accra-1",
		Members: []string{"accra-1"},
		Holders: []string{"accra-1"},
		Part:    1,
	})
	// After a minute each team has the tokens of its whole burst.
	now = now.Add(time.Minute)
	headerNames := headerCodec().Dialect
	host.handler = &bufferproxy.Handler{
		Pool:        pool,
		RateLimiter: limiter,
		Client: &exchange.Client{
			Dialect:             &headerNames,
			AllowCloseDelimited: true,
		},
		HeaderCodec: headerCodec(),
		RetryBudget: &bufferproxy.RetryBudget{
			Ratio:     0.2,
			Burst:     100,
			HostCount: func() int { return 1 },
		},
		CrashDetector: &crashdetect.Detector{},
	}
	host.handler.SetConfiguration(routing.NewIndex(configuration()))
	host.entryHost = httptest.NewServer(host.handler)
	host.t.Cleanup(host.entryHost.Close)
}

// request returns a request of the team "north" with the affinity key "17".
func (host *testHost) request(method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(host.t.Context(), method, host.entryHost.URL+path, strings.NewReader(body))
	require.NoError(host.t, err)
	r.Host = "shop.example"
	r.Header.Set(requestIDHeader, "request-1")
	r.Header.Set(apiKeyHeader, "good-key")
	r.Header.Set(affinityHeader, "17")
	return r
}

// send sends the request to the entry host and returns the response and its body.
func (host *testHost) send(r *http.Request) (*http.Response, string) {
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(host.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(host.t, err)
	return response, string(body)
}

// respondOK responds with status 200.
func respondOK(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, "sound") }

// abort breaks the connection without a response.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestResponseIsPassedOnUnchanged(t *testing.T) {
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Test-Other", "kept")
		w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
		w.Header().Set(completeMarkerHeader, "proof")
		w.WriteHeader(http.StatusTeapot)
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	})
	response, body := host.send(host.request(http.MethodPost, "/orders/7%2f8?a=b&c", "an order"))
	require.Equal(t, http.StatusTeapot, response.StatusCode)
	require.Equal(t, "POST /orders/7%2f8?a=b&c an order", body)
	require.Equal(t, "kept", response.Header.Get("Test-Other"))
	require.Equal(t, "proof", response.Header.Get(completeMarkerHeader))
}

// TestBackendServerGetsTeamButNotAPIKey also checks that a caller cannot set the headers
// that only the entry host may set.
func TestBackendServerGetsTeamButNotAPIKey(t *testing.T) {
	var got http.Header
	host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		respondOK(w, r)
	})
	r := host.request(http.MethodGet, "/stock/17", "")
	r.Header.Set(teamHeader, "someone-else")
	r.Header.Set(targetHeader, "some-server")
	r.Header.Set(timeoutHeader, "500")
	host.send(r)
	require.Equal(t, "north", got.Get(teamHeader))
	require.Equal(t, host.servers[0].Name, got.Get(targetHeader))
	require.Empty(t, got.Get(apiKeyHeader))
	require.Equal(t, "request-1", got.Get(requestIDHeader))
	timeout, err := strconv.Atoi(got.Get(timeoutHeader))
	require.NoError(t, err)
	require.Greater(t, timeout, 0)
	require.LessOrEqual(t, timeout, 500)
	// A request without an API key on a public route has no team.
	r = host.request(http.MethodGet, "/open/17", "")
	r.Header.Set(teamHeader, "someone-else")
	r.Header.Del(apiKeyHeader)
	host.send(r)
	require.Empty(t, got.Get(teamHeader))
}

// TestInvalidRequestIsNotSentToAnyServer sends requests that match no route, have an
// unknown API key, or have a body above the limit.
func TestInvalidRequestIsNotSentToAnyServer(t *testing.T) {
	host := newTestHost(t, respondOK)
	for path, status := range map[string]int{
		"/none/7":  http.StatusNotFound,
		"/stock":   http.StatusNotFound,
		"/stock/7": http.StatusUnauthorized,
	} {
		r := host.request(http.MethodGet, path, "")
		r.Header.Set(apiKeyHeader, "bad-key")
		response, _ := host.send(r)
		require.Equal(t, status, response.StatusCode, path)
	}
	response, _ := host.send(host.request(http.MethodPost, "/orders/7", strings.Repeat("x", 2000)))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Zero(t, host.requestCounts[0].Load())
}

func TestHostWithoutConfigurationRejectsRequests(t *testing.T) {
	host := newTestHost(t, respondOK)
	host.handler = &bufferproxy.Handler{
		HeaderCodec: headerCodec(),
	}
	recorder := httptest.NewRecorder()
	host.handler.ServeHTTP(recorder, host.request(http.MethodGet, "/stock/7", ""))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

// TestHostWithoutRateSharesRespondsUnavailable guards against a wrong status after a
// restart under load: the host does not know its share of the team's rate yet, and must
// respond with 503, since a 429 would be false for a team within its rate.
func TestHostWithoutRateSharesRespondsUnavailable(t *testing.T) {
	host := newTestHost(t, respondOK)
	host.handler.RateLimiter = &quota.Limiter{}
	host.handler.RateLimiter.SetTeams(configuration().Teams)
	r := host.request(http.MethodGet, "/stock/17", "")
	r.Header.Set(apiKeyHeader, "small-key")
	response, _ := host.send(r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	wait, err := time.ParseDuration(response.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.LessOrEqual(t, wait, time.Second)
}

// TestRequestUsesBorrowedToken has another host lend one token: the first request uses
// the host's own token, the second the borrowed one, and the third is rejected with the time
// until another host has a token again.
func TestRequestUsesBorrowedToken(t *testing.T) {
	const othersWait = 7 * time.Millisecond
	host := newTestHost(t, respondOK)
	var borrowers []string
	var last *http.Response
	host.handler.BorrowToken = func(_ context.Context, team string) (time.Duration, bool) {
		borrowers = append(borrowers, team)
		return othersWait, len(borrowers) == 1
	}
	var statuses []int
	for range 3 {
		r := host.request(http.MethodGet, "/stock/17", "")
		r.Header.Set(apiKeyHeader, "small-key")
		last, _ = host.send(r)
		statuses = append(statuses, last.StatusCode)
	}
	require.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}, statuses)
	require.Equal(t, othersWait.String(), last.Header.Get("Retry-After"), "the caller must be told when another host has a token")
	require.Equal(t, []string{"small", "small"}, borrowers)
}

// TestRequestComesBackSoonIfOwnersDoNotAnswer rejects a request on a host that owns no part of
// the team's rate, while the hosts that do don't answer.
func TestRequestComesBackSoonIfOwnersDoNotAnswer(t *testing.T) {
	host := newTestHost(t, respondOK)
	host.handler.RateLimiter.SetOwnership(quota.Ownership{
		Self: "accra-1",
		Owners: map[string]map[string][]string{
			"small": {
				"accra": {"accra-2"},
			},
		},
	})
	host.handler.RateLimiter.SetReports(nil)
	host.handler.BorrowToken = func(context.Context, string) (time.Duration, bool) { return 0, false }
	r := host.request(http.MethodGet, "/stock/17", "")
	r.Header.Set(apiKeyHeader, "small-key")
	response, _ := host.send(r)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, bufferproxy.DefaultRetryAfter.String(), response.Header.Get("Retry-After"))
}

func TestSetConfigurationIgnoresOlderVersion(t *testing.T) {
	host := newTestHost(t, respondOK)
	older := configuration()
	older.Version = 2
	require.False(t, host.handler.SetConfiguration(routing.NewIndex(older)))
	require.False(t, host.handler.SetConfiguration(routing.NewIndex(configuration())))
	require.Equal(t, routing.Version(3), host.handler.Configuration().Version)
}

func TestTeamAboveItsRateGetsRetryAfter(t *testing.T) {
	host := newTestHost(t, respondOK)
	var statuses []int
	for range 2 {
		r := host.request(http.MethodGet, "/stock/17", "")
		r.Header.Set(apiKeyHeader, "small-key")
		response, _ := host.send(r)
		statuses = append(statuses, response.StatusCode)
		if response.StatusCode == http.StatusTooManyRequests {
			wait, err := time.ParseDuration(response.Header.Get("Retry-After"))
			require.NoError(t, err)
			require.Greater(t, wait, time.Duration(0))
		}
	}
	require.Equal(t, []int{http.StatusOK, http.StatusTooManyRequests}, statuses)
}

func TestRequestThatWasNotRunIsSentToAnotherServer(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		host := newTestHost(t, func(w http.ResponseWriter, r *http.Request) { writeNotRun(w, r, status) }, respondOK)
		r := host.request(http.MethodPost, "/stock/17", "an order")
		response, body := host.send(r)
		require.Equal(t, http.StatusOK, response.StatusCode, status)
		require.Equal(t, "sound", body)
		require.Equal(t, int64(1), host.requestCounts[0].Load())
	}
}

// TestRejectionOnlyIfNoServerMayHaveRunRequest checks that the caller gets 503 when all
// servers refuse the request, and 502 when one of them may have run it.
func TestRejectionOnlyIfNoServerMayHaveRunRequest(t *testing.T) {
	refuse := func(w http.ResponseWriter, r *http.Request) { writeNotRun(w, r, http.StatusServiceUnavailable) }
	host := newTestHost(t, refuse, refuse)
	response, _ := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	host = newTestHost(t, abort, refuse)
	response, _ = host.send(host.request(http.MethodPost, "/stock/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, response.Header.Get("Retry-After"))
}

func TestAtMostOnceRequestIsNotSentAgain(t *testing.T) {
	host := newTestHost(t, abort, abort)
	response, _ := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, int64(1), host.requestCounts[0].Load()+host.requestCounts[1].Load())
}

func TestAtMostMaxServersMayHaveRunIdempotentRequest(t *testing.T) {
	host := newTestHost(t, abort, respondOK)
	response, body := host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "sound", body)
	host = newTestHost(t, abort, abort, respondOK)
	response, _ = host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Zero(t, host.requestCounts[2].Load())
}

// TestInvalidResponseBecomesBadGateway has a server send a truncated response (with a
// content length, or chunked), bytes that are not HTTP, a response that is
// not marked as complete, or a response to another request. The caller must get none of
// them as a complete response.
func TestInvalidResponseBecomesBadGateway(t *testing.T) {
	for name, write := range map[string]func(*bufio.ReadWriter, string){
		"length": func(c *bufio.ReadWriter, head string) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: 100\r\n\r\npart", head)
		},
		"chunks": func(c *bufio.ReadWriter, head string) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", head)
		},
		"not HTTP": func(c *bufio.ReadWriter, _ string) {
			_, _ = c.WriteString("this is not HTTP\r\n\r\n")
		},
		"no complete marker": func(c *bufio.ReadWriter, head string) {
			_, _ = c.WriteString(strings.ReplaceAll(head, completeMarkerHeader, "Test-Else") + "Content-Length: 4\r\n\r\nfour")
		},
		"other request ID": func(c *bufio.ReadWriter, head string) {
			_, _ = c.WriteString(strings.ReplaceAll(head, "request-1", "request-2") + "Content-Length: 4\r\n\r\nfour")
		},
	} {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(t, rawResponse(t, write, false))
			response, body := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.NotContains(t, body, "part")
		})
	}
}

// rawResponse writes a raw response and closes the connection, with a TCP reset if reset
// is true.
func rawResponse(t *testing.T, write func(*bufio.ReadWriter, string), reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// Closing a connection with unread bytes would reset it.
		_, err := io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		connection, stream, err := w.(http.Hijacker).Hijack()
		require.NoError(t, err)
		write(stream, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: proof\r\n", requestIDHeader, r.Header.Get(requestIDHeader), completeMarkerHeader))
		_ = stream.Flush()
		if tcp, isTCP := connection.(*net.TCPConn); isTCP && reset {
			// Let the host read the response first, since a reset may discard unread data.
			time.Sleep(50 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

// TestCloseDelimitedResponseIsCompleteUnlessReset has a server send a response without a
// length, whose end is the end of the connection: only a reset shows that it is
// incomplete.
func TestCloseDelimitedResponseIsCompleteUnlessReset(t *testing.T) {
	closeDelimited := func(c *bufio.ReadWriter, head string) {
		_, _ = c.WriteString(head + "\r\nall of it")
	}
	host := newTestHost(t, rawResponse(t, closeDelimited, false))
	response, body := host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "all of it", body)
	require.Equal(t, int64(len(body)), response.ContentLength)
	host = newTestHost(t, rawResponse(t, closeDelimited, true))
	response, _ = host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
}

// TestServerErrorIsRetriedOnlyIfIdempotent has a server respond with 500: an idempotent
// request goes to another server, and for any other the caller gets the 500.
func TestServerErrorIsRetriedOnlyIfIdempotent(t *testing.T) {
	respondError := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
		w.Header().Set(completeMarkerHeader, "proof")
		w.WriteHeader(http.StatusInternalServerError)
	}
	host := newTestHost(t, respondError, respondOK)
	response, _ := host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	host = newTestHost(t, respondError, respondError)
	response, _ = host.send(host.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "proof", response.Header.Get(completeMarkerHeader))
	require.Equal(t, int64(1), host.requestCounts[0].Load()+host.requestCounts[1].Load())
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	release := make(chan struct{})
	host := newTestHost(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	start := time.Now()
	response, _ := host.send(host.request(http.MethodGet, "/open/17", ""))
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.GreaterOrEqual(t, time.Since(start), 200*time.Millisecond)
}

func TestServerRequestIsCancelledWhenCallerCancels(t *testing.T) {
	received, cancelled := make(chan struct{}), make(chan struct{})
	host := newTestHost(t, func(_ http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(host.request(http.MethodGet, "/stock/17", "").WithContext(ctx))
	require.ErrorIs(t, err, context.Canceled)
	<-cancelled
}

// TestDrainingHostClosesConnections checks that a draining host first serves requests and
// later rejects them, and closes the caller's connection after each response.
func TestDrainingHostClosesConnections(t *testing.T) {
	host := newTestHost(t, respondOK)
	host.handler.StartDraining(10 * time.Second)
	response, _ := host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
	host.handler.StartDraining(0)
	response, _ = host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Equal(t, int64(1), host.requestCounts[0].Load())
}

func TestRequestThatCrashedServersIsRejected(t *testing.T) {
	detector := &crashdetect.Detector{}
	host := newTestHost(t, respondOK)
	host.handler.CrashDetector = detector
	r := host.request(http.MethodGet, "/stock/17", "")
	// The crash detector compares fingerprints of the key, the body and other parts of
	// requests, so this one must have the key and the empty body of the request below.
	crashing := exchange.FromHTTP(r, "request-1")
	crashing.APIKey = "good-key"
	crashing.Body = nil
	for _, server := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		detector.RecordBrokenConnection(crashing, netip.MustParseAddrPort(server))
	}
	response, _ := host.send(r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, host.requestCounts[0].Load())
	response, _ = host.send(host.request(http.MethodGet, "/stock/18", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestDestinationsGetTheirWeightsAtAllTimes checks the fraction of requests that each
// destination gets after every request from the tenth on, and not only at the end.
func TestDestinationsGetTheirWeightsAtAllTimes(t *testing.T) {
	var mu sync.Mutex
	counts := make(map[string]int)
	host := newTestHost(t, respondOK)
	weighted := configuration()
	weighted.Version = 4
	weighted.Routes[0].Destinations = []routing.Destination{
		{
			Service: "catalogue",
			Weight:  70,
		},
		{
			Service: "elsewhere",
			Weight:  30,
		},
	}
	host.handler.SetConfiguration(routing.NewIndex(weighted))
	for i := range 50 {
		r := host.request(http.MethodGet, "/stock/17", "")
		response, _ := host.send(r)
		mu.Lock()
		counts[strconv.Itoa(response.StatusCode)]++
		mu.Unlock()
		if i >= 9 {
			// The other service has no servers: its requests are rejected, and are not
			// sent to this service instead.
			require.InDelta(t, 0.7, float64(counts["200"])/float64(i+1), 0.06)
		}
	}
}
