package host_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/internal/standin/loopback"
	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
)

// startHost runs a host without a store, and returns its settings and the log.
func startHost(t *testing.T) (host.Settings, *observer.ObservedLogs) {
	core, logged := observer.New(zap.DebugLevel)
	settings := host.Settings{
		Identity: host.Identity{
			Host:          "accra-1",
			Region:        "accra",
			Zone:          "accra-a",
			CallerAddress: loopback.MustFreeAddress(),
			ReadyAddress:  loopback.MustFreeAddress(),
			LookupAddress: loopback.MustFreeAddress(),
			PeerAddress:   loopback.MustFreeAddress(),
		},
		StoreAddress:        loopback.MustFreeAddress(),
		MaxLookupTTLSeconds: 5,
		DrainSeconds:        1,
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		process := host.Process{
			Settings: settings,
			Log: observe.Log{
				Logger: zap.New(core),
			},
		}
		_ = process.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	require.Eventually(t, func() bool {
		connection, err := net.Dial("tcp", settings.PeerAddress.String())
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	}, 10*time.Second, 10*time.Millisecond)
	return settings, logged
}

// post sends a body to a host's peer address and returns the status of the response.
func post(t *testing.T, settings host.Settings, path, encoding string, body io.Reader) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+settings.PeerAddress.String()+path, body)
	require.NoError(t, err)
	if encoding != "" {
		request.Header.Set("Content-Encoding", encoding)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

func zipped(t *testing.T, content io.Reader) *bytes.Buffer {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err := io.Copy(writer, content)
	require.NoError(t, err)
	require.NoError(t, writer.Close())
	return &compressed
}

// TestMalformedMessagesOfPeersAreRejected sends a host heartbeats and digests that are cut off,
// of other types, in a wrong encoding, or that decompress to far more than they may hold. Each is
// rejected and logged, and the host applies a proper digest afterwards.
func TestMalformedMessagesOfPeersAreRejected(t *testing.T) {
	settings, logged := startHost(t)
	spaces := strings.NewReader(strings.Repeat(" ", 64<<20))
	for name, body := range map[string]struct {
		encoding string
		content  io.Reader
	}{
		"empty": {
			content: strings.NewReader(""),
		},
		"cut off": {
			content: strings.NewReader(`{"relay":{"name":"a"`),
		},
		"another type": {
			content: strings.NewReader(`{"name":7,"relay":[],"hosts":"x"}`),
		},
		"no object": {
			content: strings.NewReader(`[1,2]`),
		},
		"bad address": {
			content: strings.NewReader(`{"name":"a","peers":"nowhere","relay":{"peers":"nowhere"}}`),
		},
		"not compressed": {
			encoding: "gzip",
			content:  strings.NewReader(`{"name":"a"}`),
		},
		"decompresses to too much": {
			encoding: "gzip",
			content:  zipped(t, spaces),
		},
	} {
		content, err := io.ReadAll(body.content)
		require.NoError(t, err)
		for _, path := range []string{"/trefoilline/digest", "/trefoilline/beat"} {
			before := logged.Len()
			require.Equal(t, http.StatusBadRequest, post(t, settings, path, body.encoding, bytes.NewReader(content)), "%s to %s", name, path)
			require.Greater(t, logged.Len(), before, "%s to %s must be logged", name, path)
		}
	}
	digest, err := json.Marshal(membership.Digest{
		Relay: membership.HostRecord{
			Name:   "accra-2",
			Region: "accra",
		},
		Incarnation: 1,
		Sequence:    1,
		Version:     1,
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusNoContent, post(t, settings, "/trefoilline/digest", "gzip", zipped(t, bytes.NewReader(digest))))
	gap := bytes.Replace(digest, []byte(`"base":0`), []byte(`"base":7`), 1)
	gap = bytes.Replace(gap, []byte(`"sequence":1`), []byte(`"sequence":2`), 1)
	require.Equal(t, http.StatusConflict, post(t, settings, "/trefoilline/digest", "", bytes.NewReader(gap)))
}
