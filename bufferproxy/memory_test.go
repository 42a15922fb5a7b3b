package bufferproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilline.example/trefoilline/bufferproxy"
	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/routing"
)

const (
	// memoryLimit is the budget of a host in these tests; five eighths of it are for long bodies.
	memoryLimit = 4 << 20
	// waitTimeout limits each wait of a test, which ends as soon as its condition holds.
	waitTimeout = 20 * time.Second
)

// newMemoryHost returns a host with a small memory budget whose routes have long timeouts.
func newMemoryHost(t *testing.T, handlers ...http.HandlerFunc) *testHost {
	host := newTestHost(t, handlers...)
	c := configuration()
	c.Version++
	c.Limits.MaxBodyBytes = 64 << 20
	for i := range c.Routes {
		c.Routes[i].Timeout = time.Minute
	}
	require.True(t, host.handler.SetConfiguration(routing.NewIndex(c)))
	host.handler.Memory.SetLimit(memoryLimit)
	return host
}

// connect opens a connection to the host.
func (host *testHost) connect() net.Conn {
	connection, err := net.Dial("tcp", host.entryHost.Listener.Addr().String())
	require.NoError(host.t, err)
	host.t.Cleanup(func() { connection.Close() })
	return connection
}

// post sends the header of a request with the length, chunked if it is negative, and the start of its body.
func (host *testHost) post(length int, start string) net.Conn {
	connection := host.connect()
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, start)
	if length < 0 {
		framing = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(start), start)
	}
	_, err := io.WriteString(connection, "POST /orders/17 HTTP/1.1\r\nHost: shop.example\r\n"+apiKeyHeader+": good-key\r\n"+
		requestIDHeader+": request-2\r\n"+framing)
	require.NoError(host.t, err)
	return connection
}

// readResponse returns the next response on the connection.
func readResponse(t *testing.T, connection net.Conn) *http.Response {
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(waitTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	return response
}

// awaitUsed waits until the memory in use satisfies the condition.
func (host *testHost) awaitUsed(condition func(used int64) bool) {
	require.Eventually(host.t, func() bool { return condition(host.handler.Memory.Usage().Used) }, waitTimeout, time.Millisecond)
}

func isZero(used int64) bool { return used == 0 }

// requireServed requires that requests of an ordinary caller are answered.
func (host *testHost) requireServed() {
	for _, body := range []string{"", strings.Repeat("b", 4<<10)} {
		response, _ := host.send(host.request(http.MethodPost, "/orders/17", body))
		require.Equal(host.t, http.StatusOK, response.StatusCode)
	}
}

func readAndRespond(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	respondOK(w, r)
}

// TestCrowdOfBodiesThatStopShortTakesBoundedMemory guards against hosts that are killed for the memory of request bodies, and whose
// ordinary callers get no answers meanwhile. The crowd has the address and team of the ordinary caller.
func TestCrowdOfBodiesThatStopShortTakesBoundedMemory(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]int{
		"length": 256 << 10,
		"chunks": -1,
	} {
		t.Run(name, func(t *testing.T) {
			host := newMemoryHost(t, readAndRespond)
			var crowd []net.Conn
			for range 3 * memoryLimit / (256 << 10) {
				crowd = append(crowd, host.post(length, strings.Repeat("c", 252<<10)))
			}
			host.awaitUsed(func(used int64) bool { return used > memoryLimit/2 })
			host.requireServed()
			require.LessOrEqual(t, host.handler.Memory.Usage().Used, int64(memoryLimit))
			require.Eventually(t, func() bool { return host.handler.Memory.Usage().Waiting == 0 }, waitTimeout, time.Millisecond)
			statuses := make(map[int]int)
			for _, connection := range crowd {
				require.NoError(t, connection.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
				response, err := http.ReadResponse(bufio.NewReader(connection), nil)
				if err == nil {
					statuses[response.StatusCode]++
				}
			}
			require.NotEmpty(t, statuses)
			require.Equal(t, statuses[http.StatusRequestTimeout]+statuses[http.StatusServiceUnavailable], total(statuses))
			for _, connection := range crowd {
				require.NoError(t, connection.Close())
			}
			host.awaitUsed(isZero)
			host.requireServed()
		})
	}
}

func total(counts map[int]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// fill takes the memory that long bodies may use, from a holding that keeps it.
func (host *testHost) fill() *memorybudget.Holding {
	holding := host.handler.Memory.Open(memorybudget.Owner{
		Expected: memoryLimit,
	})
	require.NoError(host.t, holding.Reserve(context.Background(), memoryLimit/8*5))
	host.t.Cleanup(holding.Close)
	return holding
}

// TestBodyWithoutMemoryIsRejected guards against requests that wait for memory until their deadline, and against answers that
// don't say when to come again, or that wait for a body that nobody reads.
func TestBodyWithoutMemoryIsRejected(t *testing.T) {
	t.Parallel()
	host := newMemoryHost(t, readAndRespond)
	core, logs := observer.New(zap.InfoLevel)
	host.handler.Log = observe.Log{
		Logger: zap.New(core),
	}
	host.fill()
	for range 3 {
		connection := host.post(256<<10, strings.Repeat("b", 100<<10))
		response := readResponse(t, connection)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		wait, err := time.ParseDuration(response.Header.Get("Retry-After"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, wait, memorybudget.Window)
		require.Less(t, wait, 2*memorybudget.Window)
		require.True(t, response.Close)
	}
	host.requireServed()
	require.Equal(t, int64(2), host.requestCounts[0].Load())
	require.Equal(t, 1, logs.FilterMessage(observe.MemoryShort.Name).Len(), "the log must not grow with the requests")
}

// TestBodyThatWaitsForMemoryIsServed guards against bodies that are rejected although memory becomes free soon.
func TestBodyThatWaitsForMemoryIsServed(t *testing.T) {
	t.Parallel()
	host := newMemoryHost(t, readAndRespond)
	holding := host.fill()
	connection := host.post(256<<10, strings.Repeat("b", 256<<10))
	require.Eventually(t, func() bool { return host.handler.Memory.Usage().Waiting == 1 }, waitTimeout, time.Millisecond)
	holding.Close()
	require.Equal(t, http.StatusOK, readResponse(t, connection).StatusCode)
	host.awaitUsed(isZero)
}

// TestStalledBodyKeepsItsPlaceAtRest guards against limits that turn away slow callers when nobody needs their memory.
func TestStalledBodyKeepsItsPlaceAtRest(t *testing.T) {
	t.Parallel()
	host := newMemoryHost(t, readAndRespond)
	connection := host.post(10, "five ")
	time.Sleep(3 * memorybudget.Window / 2)
	_, err := io.WriteString(connection, "bytes")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, readResponse(t, connection).StatusCode)
}

// TestDeclaredLengthOverTheLimitIsRejectedUnread guards against hosts that read bodies which they reject in any case.
func TestDeclaredLengthOverTheLimitIsRejectedUnread(t *testing.T) {
	t.Parallel()
	host := newMemoryHost(t, readAndRespond)
	connection := host.post(128<<20, "")
	response := readResponse(t, connection)
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.True(t, response.Close)
	require.Zero(t, host.requestCounts[0].Load())
}

// TestBodiesOfAllSizesArriveUnchanged guards against pieces of a body that are lost or mixed up, for lengths about those at which
// it is read in another way. Bodies up to the limit must be sent again after a refusal, longer ones are sent once.
func TestBodiesOfAllSizesArriveUnchanged(t *testing.T) {
	t.Parallel()
	const limit = bufferproxy.MaxBufferedBodyBytes
	var received string
	refuse := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		writeNotRun(w, r, http.StatusServiceUnavailable)
	}
	accept := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received = string(body)
		respondOK(w, r)
	}
	for _, size := range []int{0, 1, 4096, 4097, 16384, 16385, 100_000, limit - 1, limit, limit + 1, limit + 16384, 3 * limit} {
		for _, isChunked := range []bool{false, true} {
			t.Run(fmt.Sprint(size, isChunked), func(t *testing.T) {
				host := newMemoryHost(t, accept)
				if size > 0 && size <= limit {
					host = newMemoryHost(t, refuse, accept)
				}
				sent := make([]byte, size)
				_, _ = (&endlessReader{}).Read(sent)
				r := host.request(http.MethodPost, "/orders/17", string(sent))
				if isChunked {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(string(sent))), -1
				}
				response, _ := host.send(r)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.True(t, string(sent) == received, "%d bytes", len(received))
				host.awaitUsed(isZero)
			})
		}
	}
}

// TestStalledUploadLosesItsSlot guards against uploads that stop short and keep the slots of a service while other requests are
// queued, and against others that replace them. Their outcome is unknown, since the server may have run them.
func TestStalledUploadLosesItsSlot(t *testing.T) {
	t.Parallel()
	host := newMemoryHost(t, readAndRespond)
	var uploads []net.Conn
	// As many as are sent to the server before requests are queued.
	for range host.servers[0].Slots + placement.DefaultServerQueueLimit {
		uploads = append(uploads, host.post(1<<20, strings.Repeat("u", 512<<10)))
	}
	require.Eventually(t, func() bool { return host.requestCounts[0].Load() == int64(len(uploads)) }, waitTimeout, time.Millisecond)
	time.Sleep(2 * memorybudget.Window)
	// Nobody has needed the slots so far.
	host.awaitUsed(func(used int64) bool { return used == int64(len(uploads))*64<<10 })
	host.requireServed()
	// Those that come again would take the slots of others again.
	require.Equal(t, http.StatusServiceUnavailable, readResponse(t, host.post(1<<20, strings.Repeat("u", 512<<10))).StatusCode)
	lost := 0
	for _, connection := range uploads {
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(time.Second/2)))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			continue
		}
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		lost++
	}
	require.Positive(t, lost)
	require.Equal(t, int64(len(uploads)+2), host.requestCounts[0].Load(), "no upload may be sent again")
	for _, connection := range uploads {
		require.NoError(t, connection.Close())
	}
	host.awaitUsed(isZero)
}

// TestResponseForSlowReaderCountsUntilItIsWritten guards against responses that are held for callers who don't read and that nothing
// bounds. One of them must make room when memory is needed.
func TestResponseForSlowReaderCountsUntilItIsWritten(t *testing.T) {
	t.Parallel()
	const size = 3 << 20
	host := newMemoryHost(t, func(w http.ResponseWriter, r *http.Request) { writeResponse(w, r, strings.Repeat("r", size)) })
	limitWriteBuffers(host)
	slow := host.connect()
	require.NoError(t, slow.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err := io.WriteString(slow, "GET /stock/17 HTTP/1.1\r\nHost: shop.example\r\n"+apiKeyHeader+": good-key\r\n"+requestIDHeader+": request-2\r\n\r\n")
	require.NoError(t, err)
	host.awaitUsed(func(used int64) bool { return used > size*3/4 })
	// The rest of it is read, and it stalls.
	time.Sleep(memorybudget.Window)
	response, body := host.send(host.request(http.MethodGet, "/stock/17", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, body, size)
	n, err := io.Copy(io.Discard, slow)
	require.True(t, err != nil || n < size, "the slow reader's connection must break")
	host.awaitUsed(isZero)
}

// limitWriteBuffers keeps the system from taking over the whole responses of the host.
func limitWriteBuffers(host *testHost) {
	host.entryHost.Close()
	host.entryHost = httptest.NewUnstartedServer(host.handler)
	host.entryHost.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
		return ctx
	}
	host.entryHost.Start()
	host.t.Cleanup(host.entryHost.Close)
}

// TestForwardedBodiesCount guards against bodies that other hosts send without a limit.
func TestForwardedBodiesCount(t *testing.T) {
	t.Parallel()
	host := newMemoryHost(t, readAndRespond)
	peer := httptest.NewServer(http.HandlerFunc(host.handler.ServeForwarded))
	t.Cleanup(peer.Close)
	reader, writer := io.Pipe()
	r := host.request(http.MethodPost, "/orders/17", "")
	r.URL.Host = peer.Listener.Addr().String()
	r.Body, r.ContentLength = reader, 100<<10
	go func() {
		_, _ = io.WriteString(writer, strings.Repeat("b", 50<<10))
		host.awaitUsed(func(used int64) bool { return used > 48<<10 })
		_, _ = io.WriteString(writer, strings.Repeat("b", 50<<10))
		_ = writer.Close()
	}()
	response, _ := host.send(r)
	require.Equal(t, http.StatusOK, response.StatusCode)
	host.awaitUsed(isZero)
}
