package recorded_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/internal/daemon"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/lease"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/suspect"
	"trefoilline.example/trefoilline/table"
)

// fleetSecret is what the hosts of the recorded fleet show each other.
const fleetSecret = "secret-of-the-recording"

// The calls of hosts to each other.
const (
	packetCall  = "POST /trefoilline/peer"
	messageCall = "POST /trefoilline/fleet"
)

var (
	// stamps matches the times of JSON.
	stamps = regexp.MustCompile(`":"(20[0-9]{2}-[0-9]{2}-[0-9]{2}T[^"]*)"`)
	// processes matches the incarnation in the text form of a process.
	processes = regexp.MustCompile(`"entry-[0-9]/([0-9]+)"`)
	// routes matches the names of routes, which a report tells in any order.
	routes = regexp.MustCompile(`"route":"([a-z]+)"`)
)

// packet is what the daemons of two hosts exchange. The product's own type is not
// exported; the test holds this one against what a daemon of this build sends.
type packet struct {
	From   string           `json:"from"`
	Report *steer.Report    `json:"report,omitempty"`
	Losses []suspect.Report `json:"losses,omitempty"`
	Share  []share.Envelope `json:"share,omitempty"`
}

// TestMessagesOfFleetAreWrittenAsRecorded decodes and encodes what three hosts of
// a fleet said to each other.
func TestMessagesOfFleetAreWrittenAsRecorded(t *testing.T) {
	for name, decodeAndEncode := range map[string]func([]byte) ([]byte, error){
		"fleet/messages":    fleetMessage,
		"fleet/packets":     again[packet],
		"daemon/objects":    again[objectstore.Object],
		"fleet/allocations": allocation,
		"fleet/plans":       again[steer.Plan],
	} {
		t.Run(name, func(t *testing.T) {
			for _, line := range recordedLines(t, name) {
				encoded, err := decodeAndEncode(line)
				require.NoError(t, err)
				require.Equal(t, string(line), string(encoded))
			}
		})
	}
}

// daemonHost is the daemon entry-1, and a peer of it that the test speaks for.
type daemonHost struct {
	t       *testing.T
	memory  *store.Memory
	listen  string
	peer    netip.AddrPort
	said    *heard
	crashed atomic.Bool
}

// startDaemon starts the daemon with the recorded table, and stops it when the
// test ends.
func startDaemon(t *testing.T) *daemonHost {
	t.Helper()
	h := &daemonHost{
		t:      t,
		memory: restore(t, "stored/table"),
		listen: freeAddress(t),
		said:   &heard{},
	}
	exchange := &peer.Transport{}
	h.peer = listen(t, h.peerHandler(exchange))
	h.register("entry-1", objectstore.EntryHost, netip.MustParseAddrPort(h.listen))
	h.register("entry-2", objectstore.EntryHost, h.peer)
	h.register("storefront-1", objectstore.BackendServer, listen(t, http.HandlerFunc(h.serveBackend)))
	ctx, stop := context.WithCancel(context.Background())
	exchange.HTTPClient = &http.Client{
		Transport: &showSecret{},
	}
	exchange.Node = &fleet.Node{
		Self: fleet.Host{
			Name:    "entry-2",
			Region:  "accra",
			Zone:    "accra-a",
			Address: h.peer,
		},
		Incarnation: uint64(time.Now().UnixMilli()),
		Feeds: []fleet.Feed{
			{
				Prefix: "table/head",
			},
			{
				Prefix:  "keys/",
				HeadKey: "keys-head",
			},
			{
				Prefix: "plan/head",
			},
		},
	}
	machines, err := h.memory.Machines(t.Context())
	require.NoError(t, err)
	exchange.Node.SetMachines(machines)
	go exchange.Run(ctx)
	done := make(chan error, 1)
	settings := daemon.Settings{
		Host:            "entry-1",
		Region:          "accra",
		Zone:            "accra-a",
		Listen:          netip.MustParseAddrPort(h.listen),
		FleetSecret:     fleetSecret,
		LookUpValidity:  time.Second,
		KeysBound:       4 * time.Second,
		RequestDeadline: time.Minute,
		DrainLimit:      time.Second,
		LogLevel:        zapcore.FatalLevel,
		LogFormat:       "json",
		Store: listen(t, &store.Server{
			Memory: h.memory,
		}),
	}
	go func() { done <- daemon.Run(ctx, settings) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	return h
}

// showSecret shows the fleet's secret with each request.
type showSecret struct{}

// RoundTrip implements [http.RoundTripper].
func (*showSecret) RoundTrip(request *http.Request) (*http.Response, error) {
	request.Header.Set("Trefoilline-Fleet-Secret", fleetSecret)
	return http.DefaultTransport.RoundTrip(request)
}

func (h *daemonHost) register(name string, kind objectstore.MachineKind, address netip.AddrPort) {
	machine := objectstore.Machine{
		Name:    name,
		Kind:    kind,
		Region:  "accra",
		Zone:    "accra-a",
		Address: address,
		State:   objectstore.Live,
	}
	if kind == objectstore.BackendServer {
		machine.Service = "storefront"
		machine.Slots = 4
	}
	h.memory.Register(machine)
}

// peerHandler keeps what the peer is sent, and lets its part in the fleet answer.
func (h *daemonHost) peerHandler(exchange *peer.Transport) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Trefoilline-Fleet-Secret") != fleetSecret {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		body := h.said.add(r)
		switch r.URL.Path {
		case peer.MessagesPath:
			r.Body = io.NopCloser(bytes.NewReader(body))
			exchange.ServeHTTP(w, r)
		case "/trefoilline/peer":
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// serveBackend runs requests, and dies of those for packs.
func (h *daemonHost) serveBackend(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/health" && h.crashed.Load():
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/health":
		_, _ = io.WriteString(w, `{"state":"live","running":0,"slots":4}`)
	default:
		h.crashed.Store(true)
		panic(http.ErrAbortHandler)
	}
}

// ask calls the daemon with the fleet's secret.
func (h *daemonHost) ask(method, target string, body []byte) (int, []byte) {
	h.t.Helper()
	return call(h.t, method, h.listen+target, body, map[string]string{
		"Trefoilline-Fleet-Secret": fleetSecret,
		"Fleet-Hops":               "1",
	})
}

// stored returns an object's value once it is stored.
func (h *daemonHost) stored(key string) []byte {
	h.t.Helper()
	var value []byte
	eventually(h.t, key+" is stored", func() bool {
		object, err := h.memory.Get(h.t.Context(), key)
		value = object.Value
		return err == nil
	})
	return value
}

// TestDaemonSpeaksAsRecorded runs a daemon and a peer that the test speaks for.
// The daemon's clock and incarnation can't be set, nor what it measures, so
// numbers, times and ports are left out where bytes are compared.
func TestDaemonSpeaksAsRecorded(t *testing.T) {
	h := startDaemon(t)
	t.Run("its report", func(t *testing.T) {
		h.said.eventuallyMasked(t, packetCall, "daemon/report.json", numbers, stamps, routes)
	})
	t.Run("its share of the limits", func(t *testing.T) {
		h.said.eventuallyMasked(t, packetCall, "daemon/share.json", numbers, stamps, ports)
	})
	t.Run("its allocation", func(t *testing.T) {
		requireMasked(t, "daemon/allocation.json", h.stored(share.DefaultKey), numbers)
	})
	t.Run("its lease", func(t *testing.T) {
		requireMasked(t, "daemon/lease.json", h.stored("lease/plan"), processes)
	})
	t.Run("its plan", func(t *testing.T) {
		var plan []byte
		eventually(t, "the plan is written", func() bool {
			body, err := lease.Body(objectstore.Object{
				Key:   "plan/head",
				Value: h.stored("plan/head"),
			})
			plan = body
			return err == nil && len(body) > 0
		})
		requireMasked(t, "daemon/plan.json", plan, stamps)
		require.Regexp(t, `^\{"epoch":1,"body":"[0-9A-Za-z+/=]+"\}$`, string(h.stored("plan/head")))
	})
	t.Run("the objects that it gives", func(t *testing.T) {
		for i, key := range h.immutable() {
			status, body := h.ask(http.MethodGet, "/trefoilline/objects/"+key, nil)
			require.Equal(t, http.StatusOK, status, string(body))
			require.Equal(t, string(recordedLines(t, "daemon/objects")[i]), string(bytes.TrimSpace(body)))
		}
	})
	t.Run("a loss that it tells", h.tellsLoss)
	t.Run("losses that it is told", h.learnsLosses)
	t.Run("recorded packets", func(t *testing.T) {
		for _, line := range recordedLines(t, "fleet/packets") {
			status, body := h.ask(http.MethodPost, "/trefoilline/peer", line)
			require.Equal(t, http.StatusNoContent, status, string(body))
		}
	})
	t.Run("recorded messages of the fleet", func(t *testing.T) {
		for _, line := range recordedLines(t, "fleet/messages") {
			status, body := h.ask(http.MethodPost, peer.MessagesPath, line)
			require.Equal(t, http.StatusOK, status, string(body))
		}
	})
	t.Run("all that it said", h.requireAgain)
}

// immutable returns the keys of the stored parts and versions of the table.
func (h *daemonHost) immutable() []string {
	h.t.Helper()
	var keys []string
	for _, prefix := range []string{table.PartKeyPrefix, table.ManifestKeyPrefix} {
		objects, err := h.memory.List(h.t.Context(), prefix)
		require.NoError(h.t, err)
		for _, o := range objects {
			keys = append(keys, o.Key)
		}
	}
	return keys
}

// tellsLoss lets a backend server die of a request.
func (h *daemonHost) tellsLoss(t *testing.T) {
	eventually(t, "a backend server died", func() bool {
		_, _ = h.ask(http.MethodPost, "/packs/first", []byte("chalk"))
		return h.crashed.Load()
	})
	h.said.eventuallyMasked(t, packetCall, "daemon/losses.json", stamps, ports)
}

// learnsLosses tells the daemon of two backend servers that died of a request,
// which it then refuses to send to a third.
func (h *daemonHost) learnsLosses(t *testing.T) {
	now, err := time.Now().UTC().MarshalJSON()
	require.NoError(t, err)
	for _, server := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		told := ports.ReplaceAll(recorded(t, "daemon/losses.json"), []byte(server))
		told = stamps.ReplaceAll(told, append([]byte(`":`), now...))
		status, body := h.ask(http.MethodPost, "/trefoilline/peer", told)
		require.Equal(t, http.StatusNoContent, status, string(body))
	}
	h.crashed.Store(false)
	eventually(t, "the request is refused as a suspect", func() bool {
		_, body := h.ask(http.MethodPost, "/packs/first", []byte("chalk"))
		require.False(t, h.crashed.Load(), "a third backend server died")
		return bytes.Contains(body, []byte(`"reason":"request-crashes-servers"`))
	})
}

// requireAgain decodes and encodes all that the daemon sent to its peer.
func (h *daemonHost) requireAgain(t *testing.T) {
	require.NotEmpty(t, h.said.of(packetCall))
	for _, body := range h.said.of(packetCall) {
		encoded, err := again[packet](body)
		require.NoError(t, err)
		require.Equal(t, string(body), string(encoded))
	}
	require.NotEmpty(t, h.said.of(messageCall))
	for _, body := range h.said.of(messageCall) {
		decoder := json.NewDecoder(bytes.NewReader(body))
		for decoder.More() {
			var message json.RawMessage
			require.NoError(t, decoder.Decode(&message))
			encoded, err := fleetMessage(message)
			require.NoError(t, err)
			require.Equal(t, string(message), string(encoded))
		}
	}
}
