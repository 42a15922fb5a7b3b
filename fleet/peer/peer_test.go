package peer_test

import (
	"bytes"
	"context"
	"fmt"
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

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

// served is a node behind a server on loopback.
type served struct {
	node     *fleet.Node
	exchange *peer.Transport
	objects  *peer.ObjectCache
	wire     *atomic.Int64
}

// serve starts a host in a zone, known to the list.
func serve(t testing.TB, memory *store.Memory, name, zone string) served {
	exchange, wire, mux := &peer.Transport{}, &atomic.Int64{}, http.NewServeMux()
	objects := &peer.ObjectCache{
		Store:       memory,
		IsImmutable: func(key string) bool { return strings.HasPrefix(key, "table/part/") },
	}
	mux.Handle(peer.MessagesPath, exchange)
	mux.Handle(peer.ObjectsPath, objects)
	server := httptest.NewUnstartedServer(mux)
	server.Listener = countingListener{
		Listener: server.Listener,
		bytes:    wire,
	}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	exchange.Node = &fleet.Node{
		Self: fleet.Host{
			Name:    name,
			Region:  "accra",
			Zone:    zone,
			Address: address,
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Feeds: []fleet.Feed{
			{
				Prefix: "table/",
			},
		},
		Settings: fleet.Settings{
			TickInterval:        20 * time.Millisecond,
			StoreReadersPerZone: 1,
		},
	}
	objects.Node = exchange.Node
	server.Start()
	t.Cleanup(server.Close)
	memory.RegisterMachine(objectstore.Machine{
		Name:    name,
		Kind:    objectstore.EntryHost,
		Region:  "accra",
		Zone:    zone,
		Address: address,
	})
	return served{
		node:     exchange.Node,
		exchange: exchange,
		objects:  objects,
		wire:     wire,
	}
}

func TestHostsFindEachOtherOverHTTP(t *testing.T) {
	memory := &store.Memory{}
	_, err := memory.Put(t.Context(), "table/head", []byte("one"), nil)
	require.NoError(t, err)
	var hosts []served
	for i := range 5 {
		hosts = append(hosts, serve(t, memory, fmt.Sprintf("host-%d", i), "accra-a"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i, h := range hosts {
		go h.exchange.Run(ctx)
		go (&fleet.MachineLister{
			Node:      h.node,
			Directory: memory,
		}).Run(ctx)
		if i == 0 {
			// The others learn the feed from this host alone.
			go (&fleet.FeedReader{
				Node:  h.node,
				Store: memory,
				Feed:  h.node.Feeds[0],
			}).Run(ctx)
		}
	}
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			return len(h.node.LiveHosts()) == len(hosts) && h.node.FeedVersion("table/") == 1
		}, 20*time.Second, 10*time.Millisecond, h.node.Self.Name)
	}
}

func TestObjectsComeFromPeersAndTheStoreIsReadOnce(t *testing.T) {
	const part = "table/part/17"
	memory := &store.Memory{}
	_, err := memory.Put(t.Context(), part, []byte("rows"), nil)
	require.NoError(t, err)
	var hosts []served
	for i := range 4 {
		hosts = append(hosts, serve(t, memory, fmt.Sprintf("host-%d", i), "accra-a"))
	}
	machines, err := memory.Machines(t.Context())
	require.NoError(t, err)
	for _, h := range hosts {
		h.node.SetMachines(machines)
	}
	for _, h := range hosts {
		for _, envelope := range h.node.Tick() {
			for _, other := range hosts {
				if other.node.Self == envelope.To {
					other.node.Receive(envelope.Message)
				}
			}
		}
	}
	for _, h := range hosts {
		object, err := h.objects.Get(t.Context(), part)
		require.NoError(t, err)
		require.Equal(t, "rows", string(object.Value))
	}
	require.Equal(t, uint64(1), memory.CallCounts().Get)
	_, err = hosts[0].objects.Get(t.Context(), "table/head")
	require.ErrorAs(t, err, new(*objectstore.NotFoundError))
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	h := serve(t, &store.Memory{}, "host-0", "accra-a")
	for _, body := range []string{
		"{",
		`{"kind":"unheard-of","message":{}}`,
		`{"kind":"poll","message":7}`,
	} {
		response, err := http.Post("http://"+h.node.Self.Address.String()+peer.MessagesPath, "", bytes.NewReader([]byte(body)))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode, body)
	}
}

// BenchmarkExchange gives the time of one poll and its answer at both ends
// together, and the bytes that HTTP adds to each message.
func BenchmarkExchange(b *testing.B) {
	memory := &store.Memory{}
	one, other := serve(b, memory, "host-1", "accra-a"), serve(b, memory, "host-2", "accra-a")
	machines, err := memory.Machines(b.Context())
	require.NoError(b, err)
	one.node.SetMachines(machines)
	probe := &probe{
		base: http.DefaultTransport.(*http.Transport).Clone(),
		done: make(chan struct{}),
	}
	probe.base.DisableCompression = true
	one.exchange.HTTPClient = &http.Client{
		Transport: probe,
	}
	poll := one.node.Tick()
	for b.Loop() {
		one.exchange.Send(b.Context(), poll)
		<-probe.done
	}
	added := float64(other.wire.Load() - probe.bodies.Load())
	b.ReportMetric(added/float64(b.N)/2, "http-bytes/message")
}

// probe counts the bytes of bodies and tells when an exchange ended.
type probe struct {
	base   *http.Transport
	bodies atomic.Int64
	done   chan struct{}
}

func (p *probe) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := p.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	p.bodies.Add(request.ContentLength + int64(len(body)))
	p.done <- struct{}{}
	return response, err
}

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{
		Conn:  conn,
		bytes: l.bytes,
	}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	read, err := c.Conn.Read(p)
	c.bytes.Add(int64(read))
	return read, err
}

func (c countingConn) Write(p []byte) (int, error) {
	written, err := c.Conn.Write(p)
	c.bytes.Add(int64(written))
	return written, err
}
