package intake_test

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

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/intake"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
	"trefoilline.example/trefoilline/suspect"
)

// The headers of the tests' dialect.
const (
	nameHeader   = "Test-Request"
	leftHeader   = "Test-Left"
	notRunHeader = "Test-Not-Run"
	targetHeader = "Test-Target"
	teamHeader   = "Test-Team"
	keyHeader    = "Test-Key"
	proofHeader  = "Test-Proof"
	objectHeader = "Test-Object"
)

func dialect() intake.HeaderCodec {
	return intake.HeaderCodec{
		Dialect: header.Dialect{
			RequestID:     nameHeader,
			Timeout:       leftHeader,
			FormatTimeout: func(left time.Duration) string { return strconv.FormatInt(left.Milliseconds(), 10) },
			NotRun:        notRunHeader,
			TargetServer:  targetHeader,
			Team:          teamHeader,
			APIKey:        keyHeader,
			ResponseSeal:  proofHeader,
		},
		ReadAPIKey: func(r *http.Request) string { return r.Header.Get(keyHeader) },
		ReadTimeout: func(r *http.Request) time.Duration {
			// A header that is not there is no time.
			left, _ := strconv.Atoi(r.Header.Get(leftHeader))
			return time.Duration(left) * time.Millisecond
		},
		ReadAffinityKey:  func(r *http.Request) string { return r.Header.Get(objectHeader) },
		ReadLoad:         func(http.Header) *placement.LoadReport { return nil },
		FormatRetryAfter: func(wait time.Duration) string { return wait.String() },
	}
}

// serve answers a request as a sound backend server does.
func serve(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set(nameHeader, r.Header.Get(nameHeader))
	w.Header().Set(proofHeader, "proof")
	_, _ = io.WriteString(w, body)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(nameHeader, r.Header.Get(nameHeader))
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(status)
}

// world is a handler with backend servers behind it.
type world struct {
	t       *testing.T
	handler *intake.Handler
	entry   *httptest.Server
	servers []objectstore.Machine
	// met counts the requests that each server got.
	met []*atomic.Int64
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

// newWorld starts a backend server for each handler, in the order of the object
// "17"'s places.
func newWorld(t *testing.T, handlers ...http.HandlerFunc) *world {
	w := &world{
		t: t,
	}
	var order []objectstore.Machine
	for i := range handlers {
		order = append(order, objectstore.Machine{
			Name:    fmt.Sprintf("server-%d", i),
			Region:  "accra",
			State:   objectstore.Live,
			Service: "catalogue",
			Slots:   4,
		})
	}
	order = inOrder(t, order)
	for i, handle := range handlers {
		met := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			met.Add(1)
			handle(w, r)
		}))
		t.Cleanup(server.Close)
		order[i].Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		w.met = append(w.met, met)
	}
	w.servers = order
	w.start()
	return w
}

// inOrder sorts servers by their places for the object "17" on the route "stock".
func inOrder(t *testing.T, servers []objectstore.Machine) []objectstore.Machine {
	var sorted []objectstore.Machine
	for left := servers; len(left) > 0; {
		pool := &placement.Pool{
			Region: "accra",
		}
		pool.SetServers(left)
		reservation, err := pool.Acquire(t.Context(), placement.Request{
			Service:     "catalogue",
			Route:       "stock",
			AffinityKey: "17",
		})
		require.NoError(t, err)
		sorted = append(sorted, reservation.Server)
		var rest []objectstore.Machine
		for _, s := range left {
			if s.Name != reservation.Server.Name {
				rest = append(rest, s)
			}
		}
		left = rest
	}
	return sorted
}

func (w *world) start() {
	pool := &placement.Pool{
		Region: "accra",
	}
	pool.SetServers(w.servers)
	now := time.Now()
	book := &quota.Limiter{
		Clock: func() time.Time { return now },
	}
	book.SetTeams(configuration().Teams)
	book.UpdateShares(nil)
	// By now each team has saved its burst.
	now = now.Add(time.Minute)
	names := dialect().Dialect
	w.handler = &intake.Handler{
		Pool:        pool,
		RateLimiter: book,
		Client: &exchange.Client{
			Dialect:             &names,
			AllowCloseDelimited: true,
		},
		HeaderCodec: dialect(),
		RetryBudget: &intake.RetryBudget{
			Ratio:     0.2,
			Burst:     100,
			HostCount: func() int { return 1 },
		},
		CrashDetector: &suspect.Detector{},
	}
	w.handler.SetConfiguration(routing.NewIndex(configuration()))
	w.entry = httptest.NewServer(w.handler)
	w.t.Cleanup(w.entry.Close)
}

// request makes a request of the team north for the object "17".
func (w *world) request(method, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(w.t.Context(), method, w.entry.URL+path, strings.NewReader(body))
	require.NoError(w.t, err)
	r.Host = "shop.example"
	r.Header.Set(nameHeader, "request-1")
	r.Header.Set(keyHeader, "good-key")
	r.Header.Set(objectHeader, "17")
	return r
}

// send sends the request and returns the answer with its whole body.
func (w *world) send(r *http.Request) (*http.Response, string) {
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(w.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(w.t, err)
	return response, string(body)
}

func sound(w http.ResponseWriter, r *http.Request) { serve(w, r, "sound") }

// broken breaks the connection without an answer.
func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Test-Other", "kept")
		w.Header().Set(nameHeader, r.Header.Get(nameHeader))
		w.Header().Set(proofHeader, "proof")
		w.WriteHeader(http.StatusTeapot)
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	})
	response, body := w.send(w.request(http.MethodPost, "/orders/7%2f8?a=b&c", "an order"))
	require.Equal(t, http.StatusTeapot, response.StatusCode)
	require.Equal(t, "POST /orders/7%2f8?a=b&c an order", body)
	require.Equal(t, "kept", response.Header.Get("Test-Other"))
	require.Equal(t, "proof", response.Header.Get(proofHeader))
}

func TestABackendServerLearnsTheTeamAndNotTheKey(t *testing.T) {
	var got http.Header
	w := newWorld(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		sound(w, r)
	})
	r := w.request(http.MethodGet, "/stock/17", "")
	r.Header.Set(teamHeader, "someone-else")
	r.Header.Set(targetHeader, "some-server")
	r.Header.Set(leftHeader, "500")
	w.send(r)
	require.Equal(t, "north", got.Get(teamHeader))
	require.Equal(t, w.servers[0].Name, got.Get(targetHeader))
	require.Empty(t, got.Get(keyHeader))
	require.Equal(t, "request-1", got.Get(nameHeader))
	left, err := strconv.Atoi(got.Get(leftHeader))
	require.NoError(t, err)
	require.Greater(t, left, 0)
	require.LessOrEqual(t, left, 500)
	// On an open route without a key there is no team.
	r = w.request(http.MethodGet, "/open/17", "")
	r.Header.Set(teamHeader, "someone-else")
	r.Header.Del(keyHeader)
	w.send(r)
	require.Empty(t, got.Get(teamHeader))
}

func TestWhatIsNotAllowedIsRefusedBeforeAnyServer(t *testing.T) {
	w := newWorld(t, sound)
	for path, status := range map[string]int{
		"/none/7":  http.StatusNotFound,
		"/stock":   http.StatusNotFound,
		"/stock/7": http.StatusUnauthorized,
	} {
		r := w.request(http.MethodGet, path, "")
		r.Header.Set(keyHeader, "bad-key")
		response, _ := w.send(r)
		require.Equal(t, status, response.StatusCode, path)
	}
	response, _ := w.send(w.request(http.MethodPost, "/orders/7", strings.Repeat("x", 2000)))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Zero(t, w.met[0].Load())
}

func TestAHostThatKnowsNoConfigurationRefuses(t *testing.T) {
	w := newWorld(t, sound)
	w.handler = &intake.Handler{
		HeaderCodec: dialect(),
	}
	recorder := httptest.NewRecorder()
	w.handler.ServeHTTP(recorder, w.request(http.MethodGet, "/stock/7", ""))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
}

// TestAHostThatDoesNotKnowItsPartSaysThatItStarts answers a restart under load: the
// team is within its rate, so that a refusal for the rate would be false.
func TestAHostThatDoesNotKnowItsPartSaysThatItStarts(t *testing.T) {
	w := newWorld(t, sound)
	w.handler.RateLimiter = &quota.Limiter{}
	w.handler.RateLimiter.SetTeams(configuration().Teams)
	r := w.request(http.MethodGet, "/stock/17", "")
	r.Header.Set(keyHeader, "small-key")
	response, _ := w.send(r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	wait, err := time.ParseDuration(response.Header.Get("Retry-After"))
	require.NoError(t, err)
	require.LessOrEqual(t, wait, time.Second)
}

// TestATokenOfAnotherHostLetsARequestPass has another host lend one token: it is asked
// only once the host's own are used up.
func TestATokenOfAnotherHostLetsARequestPass(t *testing.T) {
	w := newWorld(t, sound)
	var asked []string
	w.handler.BorrowToken = func(_ context.Context, team string) bool {
		asked = append(asked, team)
		return len(asked) == 1
	}
	var statuses []int
	for range 3 {
		r := w.request(http.MethodGet, "/stock/17", "")
		r.Header.Set(keyHeader, "small-key")
		response, _ := w.send(r)
		statuses = append(statuses, response.StatusCode)
	}
	require.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests}, statuses)
	require.Equal(t, []string{"small", "small"}, asked)
}

func TestAnOlderConfigurationNeverComesIntoForce(t *testing.T) {
	w := newWorld(t, sound)
	older := configuration()
	older.Version = 2
	require.False(t, w.handler.SetConfiguration(routing.NewIndex(older)))
	require.False(t, w.handler.SetConfiguration(routing.NewIndex(configuration())))
	require.Equal(t, routing.Version(3), w.handler.Configuration().Version)
}

func TestATeamAboveItsRateIsToldWhenToComeBack(t *testing.T) {
	w := newWorld(t, sound)
	var statuses []int
	for range 2 {
		r := w.request(http.MethodGet, "/stock/17", "")
		r.Header.Set(keyHeader, "small-key")
		response, _ := w.send(r)
		statuses = append(statuses, response.StatusCode)
		if response.StatusCode == http.StatusTooManyRequests {
			wait, err := time.ParseDuration(response.Header.Get("Retry-After"))
			require.NoError(t, err)
			require.Greater(t, wait, time.Duration(0))
		}
	}
	require.Equal(t, []int{http.StatusOK, http.StatusTooManyRequests}, statuses)
}

func TestWhatAServerDidNotRunGoesToAnother(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		w := newWorld(t, func(w http.ResponseWriter, r *http.Request) { refuse(w, r, status) }, sound)
		r := w.request(http.MethodPost, "/stock/17", "an order")
		response, body := w.send(r)
		require.Equal(t, http.StatusOK, response.StatusCode, status)
		require.Equal(t, "sound", body)
		require.Equal(t, int64(1), w.met[0].Load())
	}
}

func TestARefusalIsPassedOnlyIfNoServerMayHaveRunTheRequest(t *testing.T) {
	shed := func(w http.ResponseWriter, r *http.Request) { refuse(w, r, http.StatusServiceUnavailable) }
	w := newWorld(t, shed, shed)
	response, _ := w.send(w.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	w = newWorld(t, broken, shed)
	response, _ = w.send(w.request(http.MethodPost, "/stock/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, response.Header.Get("Retry-After"))
}

func TestARequestThatMayRunOnceIsNotSentAgain(t *testing.T) {
	w := newWorld(t, broken, broken)
	response, _ := w.send(w.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, int64(1), w.met[0].Load()+w.met[1].Load())
}

func TestAnIdempotentRequestIsSentAgainUpToItsLimit(t *testing.T) {
	w := newWorld(t, broken, sound)
	response, body := w.send(w.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "sound", body)
	w = newWorld(t, broken, broken, sound)
	response, _ = w.send(w.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Zero(t, w.met[2].Load())
}

// TestABrokenAnswerNeverLooksWhole plays answers that end early, in each framing.
func TestABrokenAnswerNeverLooksWhole(t *testing.T) {
	for name, write := range map[string]func(*bufio.ReadWriter, string){
		"length": func(c *bufio.ReadWriter, head string) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: 100\r\n\r\npart", head)
		},
		"chunks": func(c *bufio.ReadWriter, head string) {
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", head)
		},
		"no answer": func(c *bufio.ReadWriter, _ string) {
			_, _ = c.WriteString("this is no answer\r\n\r\n")
		},
		"no proof": func(c *bufio.ReadWriter, head string) {
			_, _ = c.WriteString(strings.ReplaceAll(head, proofHeader, "Test-Else") + "Content-Length: 4\r\n\r\nfour")
		},
		"another request": func(c *bufio.ReadWriter, head string) {
			_, _ = c.WriteString(strings.ReplaceAll(head, "request-1", "request-2") + "Content-Length: 4\r\n\r\nfour")
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, hijacked(t, write, false))
			response, body := w.send(w.request(http.MethodPost, "/orders/17", "an order"))
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.NotContains(t, body, "part")
		})
	}
}

// hijacked answers by hand and ends the connection, with a reset if asked.
func hijacked(t *testing.T, write func(*bufio.ReadWriter, string), reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A close with unread bytes would be a reset.
		_, err := io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		connection, stream, err := w.(http.Hijacker).Hijack()
		require.NoError(t, err)
		write(stream, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: proof\r\n", nameHeader, r.Header.Get(nameHeader), proofHeader))
		_ = stream.Flush()
		if tcp, isTCP := connection.(*net.TCPConn); isTCP && reset {
			time.Sleep(50 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}

func TestAnAnswerThatEndsWithItsConnectionIsWholeUnlessReset(t *testing.T) {
	unframed := func(c *bufio.ReadWriter, head string) {
		_, _ = c.WriteString(head + "\r\nall of it")
	}
	w := newWorld(t, hijacked(t, unframed, false))
	response, body := w.send(w.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "all of it", body)
	require.Equal(t, int64(len(body)), response.ContentLength)
	w = newWorld(t, hijacked(t, unframed, true))
	response, _ = w.send(w.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
}

func TestAFailureOfAServerGoesToAnotherOnlyIfThatMayRunIt(t *testing.T) {
	failing := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(nameHeader, r.Header.Get(nameHeader))
		w.Header().Set(proofHeader, "proof")
		w.WriteHeader(http.StatusInternalServerError)
	}
	w := newWorld(t, failing, sound)
	response, _ := w.send(w.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	w = newWorld(t, failing, failing)
	response, _ = w.send(w.request(http.MethodPost, "/orders/17", "an order"))
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	require.Equal(t, "proof", response.Header.Get(proofHeader))
	require.Equal(t, int64(1), w.met[0].Load()+w.met[1].Load())
}

func TestTheRouteBoundsTheWait(t *testing.T) {
	release := make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	start := time.Now()
	response, _ := w.send(w.request(http.MethodGet, "/open/17", ""))
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.GreaterOrEqual(t, time.Since(start), 200*time.Millisecond)
}

func TestAServerIsToldWhenTheCallerLeaves(t *testing.T) {
	reached, left := make(chan struct{}), make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		close(reached)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	_, err := http.DefaultTransport.RoundTrip(w.request(http.MethodGet, "/stock/17", "").WithContext(ctx))
	require.ErrorIs(t, err, context.Canceled)
	<-left
}

func TestAHostThatLeavesEndsWhatItHasAndAsksCallersToGo(t *testing.T) {
	w := newWorld(t, sound)
	w.handler.StartDraining(10 * time.Second)
	response, _ := w.send(w.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.True(t, response.Close)
	w.handler.StartDraining(0)
	response, _ = w.send(w.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Equal(t, int64(1), w.met[0].Load())
}

func TestARequestThatServersDiedOfIsRefused(t *testing.T) {
	list := &suspect.Detector{}
	w := newWorld(t, sound)
	w.handler.CrashDetector = list
	r := w.request(http.MethodGet, "/stock/17", "")
	poison := exchange.FromHTTP(r, "request-1")
	poison.APIKey = "good-key"
	poison.Body = nil
	for _, server := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		list.Lost(poison, netip.MustParseAddrPort(server))
	}
	response, _ := w.send(r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, w.met[0].Load())
	response, _ = w.send(w.request(http.MethodGet, "/stock/18", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestASplitGivesEachPartItsWeightAtAllTimes(t *testing.T) {
	var mu sync.Mutex
	counts := make(map[string]int)
	w := newWorld(t, sound)
	split := configuration()
	split.Version = 4
	split.Routes[0].Destinations = []routing.Destination{
		{
			Service: "catalogue",
			Weight:  70,
		},
		{
			Service: "elsewhere",
			Weight:  30,
		},
	}
	w.handler.SetConfiguration(routing.NewIndex(split))
	for i := range 50 {
		r := w.request(http.MethodGet, "/stock/17", "")
		response, _ := w.send(r)
		mu.Lock()
		counts[strconv.Itoa(response.StatusCode)]++
		mu.Unlock()
		if i >= 9 {
			// The other service has no servers: its part is refused, not moved.
			require.InDelta(t, 0.7, float64(counts["200"])/float64(i+1), 0.06)
		}
	}
}
