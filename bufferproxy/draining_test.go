package bufferproxy_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/routing"
)

// drainTime is how long the draining hosts of these tests run; it is that of a host with a long drain
// timeout.
const drainTime = 9400 * time.Millisecond

// startDraining lets the host drain, with routes whose timeout is longer than that, and returns the time
// that its clock is ahead.
func (host *testHost) startDraining() *atomic.Int64 {
	var ahead atomic.Int64
	host.handler.Clock = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	slow := configuration()
	slow.Version++
	for i := range slow.Routes {
		slow.Routes[i].Timeout = 2 * drainTime
	}
	host.handler.SetConfiguration(routing.NewIndex(slow))
	host.handler.StartDraining(drainTime)
	return &ahead
}

// TestDrainingHostRejectsWhatMayOutlastIt guards against requests that a host with a long drain timeout accepts
// late, and cuts when it stops: they must be rejected unless their deadline comes before that.
func TestDrainingHostRejectsWhatMayOutlastIt(t *testing.T) {
	for _, c := range []struct {
		drainingFor time.Duration
		timeout     string
		status      int
	}{
		{
			drainingFor: 2 * time.Second,
			timeout:     "15298",
			status:      http.StatusOK,
		},
		{
			drainingFor: 3 * time.Second,
			timeout:     "15298",
			status:      http.StatusServiceUnavailable,
		},
		{
			drainingFor: 3 * time.Second,
			timeout:     "2000",
			status:      http.StatusOK,
		},
		{
			drainingFor: 8 * time.Second,
			timeout:     "2000",
			status:      http.StatusServiceUnavailable,
		},
	} {
		host := newTestHost(t, respondOK)
		host.startDraining().Store(int64(c.drainingFor))
		r := host.request(http.MethodGet, "/stock/17", "")
		r.Header.Set(timeoutHeader, c.timeout)
		response, _ := host.send(r)
		require.Equal(t, c.status, response.StatusCode, "%v", c)
		require.True(t, response.Close)
	}
}

// TestUploadThatEndsLateIsNotPassedOn guards against a request that arrives in time, but whose body
// ends so late that the request may be cut when the host stops.
func TestUploadThatEndsLateIsNotPassedOn(t *testing.T) {
	host := newTestHost(t, respondOK)
	ahead := host.startDraining()
	reader, writer := io.Pipe()
	r := host.request(http.MethodPost, "/orders/7", "")
	r.Body, r.ContentLength = reader, 2
	r.Header.Set(timeoutHeader, "15298")
	go func() {
		_, _ = io.WriteString(writer, "a")
		require.Eventually(t, func() bool { return host.handler.RunningRequests() == 1 }, time.Minute, time.Millisecond)
		ahead.Store(int64(3 * time.Second))
		_, _ = io.WriteString(writer, "b")
		_ = writer.Close()
	}()
	response, _ := host.send(r)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Zero(t, host.requestCounts[0].Load())
}

// TestUploadThatCannotBeServedIsRejectedWhileItArrives guards against requests of a host that stops whose callers send all of a
// body in vain, or get no answer since it is not in at the end.
func TestUploadThatCannotBeServedIsRejectedWhileItArrives(t *testing.T) {
	for name, timeout := range map[string]string{
		"it may outlast the host":       "15298",
		"the host ends before the body": "100",
	} {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(t, respondOK)
			slow := configuration()
			slow.Version++
			for i := range slow.Routes {
				slow.Routes[i].Timeout = 2 * drainTime
			}
			host.handler.SetConfiguration(routing.NewIndex(slow))
			reader, writer := io.Pipe()
			defer writer.Close()
			r := host.request(http.MethodPost, "/orders/7", "")
			r.Body, r.ContentLength = reader, 2
			r.Header.Set(timeoutHeader, timeout)
			go func() {
				_, _ = io.WriteString(writer, "a")
				require.Eventually(t, func() bool { return host.handler.RunningRequests() == 1 }, time.Minute, time.Millisecond)
				host.handler.StartDraining(time.Second)
				if timeout == "100" {
					host.handler.EndRequests()
				}
			}()
			response, _ := host.send(r)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.True(t, response.Close)
			require.Zero(t, host.requestCounts[0].Load())
		})
	}
}
