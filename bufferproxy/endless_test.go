package bufferproxy_test

import (
	"bytes"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/bufferproxy"
)

// endlessServer answers with bytes that have no end, until the caller closes the connection. It
// counts the bytes and the connections that are still open.
type endlessServer struct {
	// start is what it sends first: a header, or nothing if the endless bytes are to be
	// taken for one.
	start string
	// unit is repeated without end.
	unit    string
	written atomic.Int64
	open    atomic.Int64
}

func (e *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	defer connection.Close()
	head := bytes.ReplaceAll([]byte(e.start), []byte("ID"), []byte(r.Header.Get(requestIDHeader)))
	if _, err := connection.Write(head); err != nil {
		return
	}
	block := bytes.Repeat([]byte(e.unit), 32<<10/len(e.unit))
	for {
		n, err := connection.Write(block)
		e.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// okHead begins a response with status 200 to the request.
const okHead = "HTTP/1.1 200 OK\r\n" + requestIDHeader + ": ID\r\n" + completeMarkerHeader + ": proof\r\n"

// endlessResponses are the places at which bytes may come without end.
var endlessResponses = map[string]endlessServer{
	"header line": {
		unit: "x",
	},
	"header lines": {
		start: "HTTP/1.1 200 OK\r\n",
		unit:  "Name: value\r\n",
	},
	"interim responses": {
		unit: "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n",
	},
	"until close": {
		start: okHead + "\r\n",
		unit:  "x",
	},
	"chunks": {
		start: okHead + "Transfer-Encoding: chunked\r\n\r\n",
		unit:  "8\r\n12345678\r\n",
	},
	"chunk extension": {
		start: okHead + "Transfer-Encoding: chunked\r\n\r\n8;",
		unit:  "x",
	},
	"trailers": {
		start: okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
		unit:  "Name: value\r\n",
	},
	"declared length": {
		start: okHead + "Content-Length: 1000000000000\r\n\r\n",
		unit:  "x",
	},
}

// TestEndlessResponsesEnd checks that a response without end is dropped, that its connection is
// closed, and that no part of it reaches the caller as a success.
func TestEndlessResponsesEnd(t *testing.T) {
	for name := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			server := &endlessServer{
				start: endlessResponses[name].start,
				unit:  endlessResponses[name].unit,
			}
			host := newTestHost(t, server.ServeHTTP)
			response, _ := host.send(host.request(http.MethodPost, "/orders/17", "order"))
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.StatusCode)
			require.Eventually(t, func() bool { return server.open.Load() == 0 }, 5*time.Second, 10*time.Millisecond, "the connection must be closed")
			require.Less(t, server.written.Load(), int64(4*bufferproxy.MaxResponseBytes))
		})
	}
}

// TestEndlessResponsesOfManyServersTakeBoundedMemory lets 200 responses without end run at the
// same time.
func TestEndlessResponsesOfManyServersTakeBoundedMemory(t *testing.T) {
	const (
		responses = 200
		// maxHeap is half of what the smallest host has.
		maxHeap = 140 << 20
	)
	server := &endlessServer{
		start: okHead + "\r\n",
		unit:  "x",
	}
	host := newTestHost(t, server.ServeHTTP)
	var highest atomic.Uint64
	stop := make(chan struct{})
	var sampler, senders sync.WaitGroup
	sampler.Go(func() {
		for {
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			highest.Store(max(highest.Load(), memory.HeapAlloc))
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	for range responses {
		senders.Go(func() {
			response, _ := host.send(host.request(http.MethodPost, "/orders/17", "order"))
			if response.StatusCode/100 == 2 {
				t.Error("an endless response reached the caller as a success")
			}
		})
	}
	senders.Wait()
	close(stop)
	sampler.Wait()
	t.Logf("highest heap %d MB", highest.Load()>>20)
	require.Less(t, highest.Load(), uint64(maxHeap))
}
