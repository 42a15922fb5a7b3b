package exchange_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
)

// startServer serves the handler on a loopback address until the test ends.
func startServer(t testing.TB, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	require.NoError(t, err)
	return address
}

// newClient returns a client that fails the test at a violation.
func newClient(t testing.TB) *exchange.Client {
	t.Helper()
	client := &exchange.Client{
		OnViolation: func(v exchange.Violation) { t.Errorf("violation: %+v", v) },
	}
	t.Cleanup(client.Close)
	return client
}

func newRequest(id, method, target string, body []byte) *exchange.Request {
	parsed, err := url.Parse(target)
	if err != nil {
		panic(err)
	}
	request := &exchange.Request{
		ID:     id,
		Method: method,
		URL:    parsed,
		Host:   "shop.example",
		Header: http.Header{},
	}
	if body != nil {
		request.Body = &exchange.Bytes{
			Content: body,
		}
	}
	return request
}

func TestCopyForwardsCompleteResponse(t *testing.T) {
	server := &backend.Server{
		Name: "s1",
	}
	address := startServer(t, server)
	client := newClient(t)
	for _, idempotent := range []bool{false, true, true} {
		request := newRequest("r1", http.MethodPost, "/orders?a=1", []byte("twine"))
		request.Idempotent = idempotent
		outcome := client.Send(t.Context(), address, request)
		response, hasResponse := outcome.(*exchange.Response)
		require.True(t, hasResponse, "%#v", outcome)
		recorder := httptest.NewRecorder()
		require.NoError(t, exchange.Copy(recorder, response))
		response.Close()
		var body struct {
			Request string `json:"request"`
		}
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
		require.Equal(t, "r1", body.Request)
		require.Equal(t, "r1", recorder.Header().Get(header.RequestID))
	}
	require.Equal(t, 3, server.RequestLog().RunCounts["r1"])
}

func TestRequestToUnreachableServerIsNotRun(t *testing.T) {
	listener := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(listener.Listener.Addr().String())
	listener.Close()
	outcome := newClient(t).Send(t.Context(), address, newRequest("r1", http.MethodPost, "/orders", []byte("x")))
	notRun, isNotRun := outcome.(exchange.NotRun)
	require.True(t, isNotRun, "%#v", outcome)
	require.Equal(t, exchange.Unreachable, notRun.Reason())
	var connectError *exchange.ConnectError
	require.ErrorAs(t, notRun.Cause(), &connectError)
}

func TestRequestToDrainingServerIsNotRun(t *testing.T) {
	server := &backend.Server{}
	server.SetFaults(backend.Faults{
		Draining: true,
	})
	outcome := newClient(t).Send(t.Context(), startServer(t, server), newRequest("r1", http.MethodPost, "/orders", nil))
	notRun, isNotRun := outcome.(exchange.NotRun)
	require.True(t, isNotRun, "%#v", outcome)
	require.Equal(t, header.Draining, notRun.Reason())
	require.Zero(t, server.RequestLog().TotalRuns)
}
