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

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/fleet/peer"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/internal/daemon"
	"trefoilline.example/trefoilline/internal/standin/loopback"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/lease"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// fleetSecret authenticates the hosts of the recorded fleet to each other.
const fleetSecret = "secret-of-the-recording"

// Methods and paths of the requests that hosts send each other.
const (
	packetCall  = "POST /trefoilline/peer"
	messageCall = "POST /trefoilline/fleet"
)

var (
	// timestampPattern matches times in JSON.
	timestampPattern = regexp.MustCompile(`":"(20[0-9]{2}-[0-9]{2}-[0-9]{2}T[^"]*)"`)
	// incarnationPattern matches the incarnation in the name of a lease holder, such
	// as entry-1/17.
	incarnationPattern = regexp.MustCompile(`"entry-[0-9]/([0-9]+)"`)
	// routePattern matches route names, whose order in a report is not fixed.
	routePattern = regexp.MustCompile(`"route":"([a-z]+)"`)
)

// packet is the message that the daemons of two hosts exchange. The type that the
// daemon uses is not exported; requireSentMessagesRoundTrip checks that this one
// matches what the daemon sends.
type packet struct {
	From   string                 `json:"from"`
	Report *steer.Report          `json:"report,omitempty"`
	Losses []crashdetect.Report   `json:"losses,omitempty"`
	Share  []globallimit.Envelope `json:"share,omitempty"`
}

// TestRecordedFleetDataRoundTrips decodes recorded messages of three hosts, and
// recorded objects, allocations and plans, and requires that they encode to the same
// bytes.
func TestRecordedFleetDataRoundTrips(t *testing.T) {
	for name, roundTrip := range map[string]func([]byte) ([]byte, error){
		"fleet/messages":    roundTripFleetMessage,
		"fleet/packets":     roundTripJSON[packet],
		"daemon/objects":    roundTripJSON[objectstore.Object],
		"fleet/allocations": roundTripAllocation,
		"fleet/plans":       roundTripJSON[steer.Plan],
	} {
		t.Run(name, func(t *testing.T) {
			for _, line := range readRecordedLines(t, name) {
				encoded, err := roundTrip(line)
				require.NoError(t, err)
				require.Equal(t, string(line), string(encoded))
			}
		})
	}
}

// daemonHost runs internal/daemon as host entry-1, with the project's own object
// store. The test simulates its peer entry-2.
type daemonHost struct {
	t        *testing.T
	memory   *store.Memory
	listen   string
	peer     netip.AddrPort
	received *requestRecorder
	crashed  atomic.Bool
}

// startDaemon starts the daemon with the recorded table, and stops it when the
// test ends.
func startDaemon(t *testing.T) *daemonHost {
	t.Helper()
	h := &daemonHost{
		t:        t,
		memory:   restore(t, "stored/table"),
		listen:   loopback.MustFreeAddress().String(),
		received: &requestRecorder{},
	}
	exchange := &peer.Transport{}
	h.peer = listen(t, h.peerHandler(exchange))
	h.register("entry-1", objectstore.EntryHost, netip.MustParseAddrPort(h.listen))
	h.register("entry-2", objectstore.EntryHost, h.peer)
	h.register("storefront-1", objectstore.BackendServer, listen(t, http.HandlerFunc(h.serveBackend)))
	ctx, stop := context.WithCancel(context.Background())
	exchange.HTTPClient = &http.Client{
		Transport: &fleetSecretTransport{},
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
		Host:              "entry-1",
		Region:            "accra",
		Zone:              "accra-a",
		ListenAddress:     netip.MustParseAddrPort(h.listen),
		FleetSecret:       fleetSecret,
		LookUpTTL:         time.Second,
		MaxKeysAge:        4 * time.Second,
		MaxRequestTimeout: time.Minute,
		DrainTimeout:      time.Second,
		LogLevel:          zapcore.FatalLevel,
		LogFormat:         "json",
		StoreAddress: listen(t, &store.Server{
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

// fleetSecretTransport adds the fleet secret to each request.
type fleetSecretTransport struct{}

// RoundTrip implements [http.RoundTripper].
func (*fleetSecretTransport) RoundTrip(request *http.Request) (*http.Response, error) {
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
	h.memory.RegisterMachine(machine)
}

// peerHandler returns the handler of the simulated peer. It records each request and
// passes fleet messages to exchange; it accepts packets without using them.
func (h *daemonHost) peerHandler(exchange *peer.Transport) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Trefoilline-Fleet-Secret") != fleetSecret {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		body := h.received.record(r)
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

// serveBackend answers health checks. It aborts the connection of any other request
// and from then on reports itself as unhealthy, as a crashed server would.
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

// callDaemon sends a request to the daemon as another host would: with the fleet
// secret, and with a hop count of 1.
func (h *daemonHost) callDaemon(method, target string, body []byte) (int, []byte) {
	h.t.Helper()
	return call(h.t, method, h.listen+target, body, map[string]string{
		"Trefoilline-Fleet-Secret": fleetSecret,
		"Fleet-Hops":               "1",
	})
}

// waitForStoredValue waits until the object is stored and returns its value.
func (h *daemonHost) waitForStoredValue(key string) []byte {
	h.t.Helper()
	var value []byte
	eventually(h.t, key+" is stored", func() bool {
		object, err := h.memory.Get(h.t.Context(), key)
		value = object.Value
		return err == nil
	})
	return value
}

// TestDaemonExchangesRecordedMessages runs a daemon and a simulated peer. The daemon's
// clock, incarnation and measurements can't be set, so numberPattern, times and ports are
// masked where bytes are compared.
func TestDaemonExchangesRecordedMessages(t *testing.T) {
	h := startDaemon(t)
	t.Run("sends its report", func(t *testing.T) {
		h.received.eventuallyMasked(t, packetCall, "daemon/report.json", numberPattern, timestampPattern, routePattern)
	})
	t.Run("sends messages of its limiter", func(t *testing.T) {
		h.received.eventuallyMasked(t, packetCall, "daemon/share.json", numberPattern, timestampPattern, portPattern)
	})
	t.Run("stores an allocation", func(t *testing.T) {
		requireMasked(t, "daemon/allocation.json", h.waitForStoredValue(globallimit.DefaultKey), numberPattern)
	})
	t.Run("stores its lease", func(t *testing.T) {
		requireMasked(t, "daemon/lease.json", h.waitForStoredValue("lease/plan"), incarnationPattern)
	})
	t.Run("stores its plan", func(t *testing.T) {
		var plan []byte
		eventually(t, "the plan is stored", func() bool {
			body, err := lease.DecodeBody(objectstore.Object{
				Key:   "plan/head",
				Value: h.waitForStoredValue("plan/head"),
			})
			plan = body
			return err == nil && len(body) > 0
		})
		requireMasked(t, "daemon/plan.json", plan, timestampPattern)
		require.Regexp(t, `^\{"epoch":1,"body":"[0-9A-Za-z+/=]+"\}$`, string(h.waitForStoredValue("plan/head")))
	})
	t.Run("serves immutable objects to peers", func(t *testing.T) {
		for i, key := range h.immutableKeys() {
			status, body := h.callDaemon(http.MethodGet, "/trefoilline/objects/"+key, nil)
			require.Equal(t, http.StatusOK, status, string(body))
			require.Equal(t, string(readRecordedLines(t, "daemon/objects")[i]), string(bytes.TrimSpace(body)))
		}
	})
	t.Run("reports a crash", h.testReportsCrash)
	t.Run("uses crashes reported by peers", h.testRefusesReportedRequest)
	t.Run("accepts recorded packets", func(t *testing.T) {
		for _, line := range readRecordedLines(t, "fleet/packets") {
			status, body := h.callDaemon(http.MethodPost, "/trefoilline/peer", line)
			require.Equal(t, http.StatusNoContent, status, string(body))
		}
	})
	t.Run("accepts recorded fleet messages", func(t *testing.T) {
		for _, line := range readRecordedLines(t, "fleet/messages") {
			status, body := h.callDaemon(http.MethodPost, peer.MessagesPath, line)
			require.Equal(t, http.StatusOK, status, string(body))
		}
	})
	t.Run("sent messages round-trip", h.requireSentMessagesRoundTrip)
}

// immutableKeys returns the keys of the table's parts and manifests, which are never
// changed once written.
func (h *daemonHost) immutableKeys() []string {
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

// testReportsCrash makes a backend server crash while it runs a request and checks
// the daemon's report of the crash to its peer.
func (h *daemonHost) testReportsCrash(t *testing.T) {
	eventually(t, "a backend server crashed", func() bool {
		_, _ = h.callDaemon(http.MethodPost, "/packs/first", []byte("chalk"))
		return h.crashed.Load()
	})
	h.received.eventuallyMasked(t, packetCall, "daemon/losses.json", timestampPattern, portPattern)
}

// testRefusesReportedRequest reports to the daemon that two backend servers crashed
// while running a request. The daemon must refuse to send the request to a third one.
func (h *daemonHost) testRefusesReportedRequest(t *testing.T) {
	now, err := time.Now().UTC().MarshalJSON()
	require.NoError(t, err)
	for _, server := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		crashPacket := portPattern.ReplaceAll(readRecording(t, "daemon/losses.json"), []byte(server))
		crashPacket = timestampPattern.ReplaceAll(crashPacket, append([]byte(`":`), now...))
		status, body := h.callDaemon(http.MethodPost, "/trefoilline/peer", crashPacket)
		require.Equal(t, http.StatusNoContent, status, string(body))
	}
	h.crashed.Store(false)
	eventually(t, "the request is refused because it crashes servers", func() bool {
		_, body := h.callDaemon(http.MethodPost, "/packs/first", []byte("chalk"))
		require.False(t, h.crashed.Load(), "a third backend server crashed")
		return bytes.Contains(body, []byte(`"reason":"request-crashes-servers"`))
	})
}

// requireSentMessagesRoundTrip decodes and encodes all messages that the daemon sent
// to its peer, and requires that they encode to the same bytes.
func (h *daemonHost) requireSentMessagesRoundTrip(t *testing.T) {
	require.NotEmpty(t, h.received.bodiesOf(packetCall))
	for _, body := range h.received.bodiesOf(packetCall) {
		encoded, err := roundTripJSON[packet](body)
		require.NoError(t, err)
		require.Equal(t, string(body), string(encoded))
	}
	require.NotEmpty(t, h.received.bodiesOf(messageCall))
	for _, body := range h.received.bodiesOf(messageCall) {
		decoder := json.NewDecoder(bytes.NewReader(body))
		for decoder.More() {
			var message json.RawMessage
			require.NoError(t, decoder.Decode(&message))
			encoded, err := roundTripFleetMessage(message)
			require.NoError(t, err)
			require.Equal(t, string(message), string(encoded))
		}
	}
}
