package recorded_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/platform/standin"
	"trefoilline.example/trefoilline/roster"
)

const (
	// soon bounds the waits; each ends as soon as what it waits for holds.
	soon = 20 * time.Second
	// step is the time between two looks at what is waited for.
	step = 50 * time.Millisecond
)

var (
	// numbers matches the numbers of JSON, which differ from run to run.
	numbers = regexp.MustCompile(`":(-?[0-9][-+.e0-9]*)`)
	// ports matches the port of a loopback address, which is free by chance.
	ports = regexp.MustCompile(`127\.0\.0\.1:([0-9]+)`)
)

// requireMasked holds content against a recorded file, but for what the patterns
// match.
func requireMasked(t *testing.T, name string, content []byte, patterns ...*regexp.Regexp) {
	t.Helper()
	require.Equal(t, string(mask(recorded(t, name), patterns...)), string(mask(content, patterns...)))
}

// heard keeps the requests that a server got.
type heard struct {
	mutex  sync.Mutex
	bodies map[string][][]byte
}

// add keeps a request and returns its body.
func (h *heard) add(r *http.Request) []byte {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.bodies == nil {
		h.bodies = make(map[string][][]byte)
	}
	call := r.Method + " " + r.URL.RequestURI()
	h.bodies[call] = append(h.bodies[call], body)
	return body
}

// of returns the bodies of the requests of a call.
func (h *heard) of(call string) [][]byte {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.bodies[call]
}

// matches tells whether there was a call that matches.
func (h *heard) matches(pattern *regexp.Regexp) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for call := range h.bodies {
		if pattern.MatchString(call) {
			return true
		}
	}
	return false
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(soon)
	for !holds() {
		require.True(t, time.Now().Before(deadline), what)
		time.Sleep(step)
	}
}

// eventuallyMasked waits until a body of a call is as recorded, but for what the
// patterns match, and shows how the last one differs if none is.
func (h *heard) eventuallyMasked(t *testing.T, call, name string, patterns ...*regexp.Regexp) {
	t.Helper()
	wanted := mask(recorded(t, name), patterns...)
	deadline := time.Now().Add(soon)
	for {
		bodies := h.of(call)
		for _, body := range bodies {
			if bytes.Equal(mask(body, patterns...), wanted) {
				return
			}
		}
		if time.Now().After(deadline) {
			require.NotEmpty(t, bodies, call)
			requireMasked(t, name, bodies[len(bodies)-1], patterns...)
		}
		time.Sleep(step)
	}
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// call sends a request and returns the status and the body of the answer.
func call(t *testing.T, method, target string, body []byte, headers map[string]string) (int, []byte) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+target, bytes.NewReader(body))
	require.NoError(t, err)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	request.Host = headers["Host"]
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, answer
}

// platformHost is a host on a stand-in of the platform, and a peer of it that the
// test speaks for.
type platformHost struct {
	t        *testing.T
	store    *standin.Store
	settings map[string]any
	peer     netip.AddrPort
	said     *heard
	sequence int
}

func (h *platformHost) address(name string) string {
	return h.settings[name].(string)
}

// startPlatformHost starts the host entry-1 with the recorded settings, but for
// its addresses, and stops it when the test ends.
func startPlatformHost(t *testing.T) *platformHost {
	t.Helper()
	h := &platformHost{
		t:     t,
		store: &standin.Store{},
		said:  &heard{},
	}
	h.peer = listen(t, http.HandlerFunc(h.servePeer))
	h.store.Put("config", "main", json.RawMessage(recorded(t, "platform/configuration.json")))
	server := listen(t, &standin.Server{
		ID: "i-1",
	})
	entry := bytes.Replace(recordedLines(t, "platform/servers")[0], []byte("10.6.64.38:8509"), []byte(server.String()), 1)
	h.store.Put("servers", "i-1", json.RawMessage(entry))
	require.NoError(t, json.Unmarshal(recorded(t, "platform/settings.json"), &h.settings))
	for _, name := range []string{"entry", "ready", "look-ups", "peers", "metrics"} {
		h.settings[name] = freeAddress(t)
	}
	h.settings["store"] = listen(t, h.store).String()
	h.settings["grace-seconds"] = 2
	h.settings["seeds"] = []string{
		h.peer.String(),
	}
	h.run()
	eventually(t, "the host is ready", func() bool {
		status, _ := call(t, http.MethodGet, h.address("ready")+"/trefoilline/ready", nil, nil)
		return status == http.StatusOK
	})
	return h
}

func (h *platformHost) run() {
	content, err := json.Marshal(h.settings)
	require.NoError(h.t, err)
	file := &host.SettingsFile{
		Path: filepath.Join(h.t.TempDir(), "settings.json"),
	}
	require.NoError(h.t, os.WriteFile(file.Path, content, 0o600))
	settings, err := file.Read()
	require.NoError(h.t, err)
	process := host.Process{
		Settings: settings,
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	h.t.Cleanup(func() {
		stop()
		require.NoError(h.t, <-done)
	})
}

// servePeer answers as the peer entry-2: it has a newer configuration and lends
// no tokens.
func (h *platformHost) servePeer(w http.ResponseWriter, r *http.Request) {
	h.said.add(r)
	switch {
	case r.URL.Path == "/trefoilline/beat":
		w.WriteHeader(http.StatusNoContent)
	case r.URL.RequestURI() == "/trefoilline/copy?prefix=config%2F":
		http.ServeFile(w, r, filepath.Join("testdata", "host", "copy-of-peer.json"))
	case r.URL.Query().Has("after"):
		w.WriteHeader(http.StatusGone)
	case r.URL.Path == "/trefoilline/token":
		w.WriteHeader(http.StatusConflict)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// sendPeerBeat sends the recorded beat of the peer, with its address and the next
// sequence.
func (h *platformHost) sendPeerBeat() {
	h.t.Helper()
	h.sequence++
	beat := strings.NewReplacer(
		"10.0.0.2:8003", h.peer.String(),
		`"sequence":1,`, fmt.Sprintf(`"sequence":%d,`, h.sequence),
	).Replace(string(recorded(h.t, "host/beat-of-peer.json")))
	status, _ := call(h.t, http.MethodPost, h.address("peers")+"/trefoilline/beat", []byte(beat), nil)
	require.Equal(h.t, http.StatusNoContent, status)
}

// order sends a request of the team north.
func (h *platformHost) order() int {
	h.t.Helper()
	status, _ := call(h.t, http.MethodPost, h.address("entry")+"/orders/7", nil, map[string]string{
		"Host":          "shop.example",
		"Authorization": "Token first-key",
		"X-Attempt-Id":  "request-1",
		"X-Deadline-Ms": "1500",
		"Cookie":        "X-Affinity-Key=object-1",
	})
	return status
}

// TestHostOfThePlatformSpeaksAsRecorded runs a host and a peer that the test
// speaks for. The host's clock and incarnation can't be set, nor what it measures,
// so numbers are left out where bytes are compared.
func TestHostOfThePlatformSpeaksAsRecorded(t *testing.T) {
	h := startPlatformHost(t)
	t.Run("its record in the store", func(t *testing.T) {
		eventually(t, "the record is written", func() bool {
			status, _ := call(t, http.MethodGet, h.address("store")+"/trefoilline/objects/entry-hosts/entry-1", nil, nil)
			return status == http.StatusOK
		})
		_, body := call(t, http.MethodGet, h.address("store")+"/trefoilline/objects/entry-hosts/entry-1", nil, nil)
		var object standin.Object
		require.NoError(t, json.Unmarshal(body, &object))
		requireMasked(t, "host/record.json", object.Spec, ports)
		encoded, err := again[roster.HostRecord](object.Spec)
		require.NoError(t, err)
		require.Equal(t, string(object.Spec), string(encoded))
	})
	t.Run("its beats", func(t *testing.T) {
		eventually(t, "an order is answered", func() bool { return h.order() == http.StatusOK })
		h.said.eventuallyMasked(t, "POST /trefoilline/beat", "host/beat.json", ports, numbers)
		for _, beat := range h.said.of("POST /trefoilline/beat") {
			encoded, err := again[roster.Heartbeat](beat)
			require.NoError(t, err)
			require.Equal(t, string(beat), string(encoded))
		}
	})
	t.Run("its copy of the store", func(t *testing.T) {
		status, copied := call(t, http.MethodGet, h.address("peers")+"/trefoilline/copy?prefix=config%2F", nil, nil)
		require.Equal(t, http.StatusOK, status)
		requireMasked(t, "host/copy.json", copied, regexp.MustCompile(`"next":([0-9]+)`))
	})
	t.Run("its changes of the store", func(t *testing.T) {
		h.store.Put("evacuations", "kumasi-a", struct{}{})
		eventually(t, "the change is known", func() bool {
			_, changes := call(t, http.MethodGet, h.address("peers")+"/trefoilline/copy?prefix=evacuations%2F", nil, nil)
			return bytes.Contains(changes, []byte("kumasi-a"))
		})
		status, changes := call(t, http.MethodGet, h.address("peers")+"/trefoilline/copy?after=3&prefix=evacuations%2F&wait=5s", nil, nil)
		require.Equal(t, http.StatusOK, status)
		requireMasked(t, "host/changes.json", changes, numbers)
		status, _ = call(t, http.MethodGet, h.address("peers")+"/trefoilline/copy?fresh=true&prefix=evacuations%2F", nil, nil)
		require.Equal(t, http.StatusOK, status)
		status, _ = call(t, http.MethodGet, h.address("peers")+"/trefoilline/copy?after=0&prefix=evacuations%2F&wait=5s", nil, nil)
		require.Equal(t, http.StatusGone, status)
	})
	t.Run("its tokens", func(t *testing.T) {
		status, _ := call(t, http.MethodPost, h.address("peers")+"/trefoilline/token?team=north", nil, nil)
		require.Equal(t, http.StatusNoContent, status)
		status, _ = call(t, http.MethodPost, h.address("peers")+"/trefoilline/token?team=nobody", nil, nil)
		require.Equal(t, http.StatusConflict, status)
	})
	t.Run("the beat of a peer", func(t *testing.T) {
		h.sendPeerBeat()
		_, answer := call(t, http.MethodGet, h.address("look-ups")+"/trefoilline/resolve?Name=shop.example&Region=accra", nil, nil)
		require.Contains(t, string(answer), `"10.0.0.2:8000"`)
	})
	t.Run("what it asks of a peer that reads the store", func(t *testing.T) {
		h.sendPeerBeat()
		// Its own watch ends with this change; the next is of the peer, which no
		// longer knows the history.
		h.store.Put("entry-hosts", "entry-2", json.RawMessage(bytes.ReplaceAll(recorded(t, "host/record.json"), []byte("entry-1"), []byte("entry-2"))))
		for _, wanted := range []string{
			`^GET /trefoilline/copy\?after=[0-9]+&prefix=entry-hosts%2F&wait=[0-9.]+s$`,
			`^GET /trefoilline/copy\?fresh=true&prefix=entry-hosts%2F$`,
		} {
			eventually(t, wanted, func() bool {
				h.sendPeerBeat()
				return h.said.matches(regexp.MustCompile(wanted))
			})
		}
	})
	t.Run("a copy that a peer has", func(t *testing.T) {
		eventually(t, "the peer's configuration is in force", func() bool {
			h.sendPeerBeat()
			beats := h.said.of("POST /trefoilline/beat")
			return bytes.Contains(beats[len(beats)-1], []byte(`"version":99,`))
		})
	})
	t.Run("a token of a peer", func(t *testing.T) {
		eventually(t, "the peer is asked for a token", func() bool {
			h.sendPeerBeat()
			h.order()
			return len(h.said.of("POST /trefoilline/token?team=north")) > 0
		})
	})
}
