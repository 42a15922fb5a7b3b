package exchange_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// BenchmarkSend compares the client with a plain http.Client on kept
// connections, and a request that may run once, on a new connection each, with
// both.
func BenchmarkSend(b *testing.B) {
	server := start(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header.Request, r.Header.Get(header.Request))
		_, _ = io.WriteString(w, "ok")
	}))
	plain := &http.Client{
		Transport: &http.Transport{},
	}
	client := newClient(b)
	b.Run("plain", func(b *testing.B) {
		for b.Loop() {
			sendPlain(b, plain, server)
		}
	})
	b.Run("kept", func(b *testing.B) {
		for b.Loop() {
			require.True(b, get(b.Context(), client, server, true))
		}
	})
	b.Run("once", func(b *testing.B) {
		for b.Loop() {
			require.True(b, get(b.Context(), client, server, false))
		}
	})
}

func sendPlain(b *testing.B, plain *http.Client, server netip.AddrPort) {
	response, err := plain.Get("http://" + server.String() + "/")
	require.NoError(b, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
}

// BenchmarkForwardHeader is the cost of keeping the key from backend servers.
func BenchmarkForwardHeader(b *testing.B) {
	h := http.Header{
		"Accept":        {"text/html"},
		"Authorization": {"Bearer " + secret},
		"Cookie":        {"a=1; b=2; c=3"},
		"User-Agent":    {"Mozilla/5.0 (X11; Linux x86_64)"},
	}
	for b.Loop() {
		exchange.ForwardHeader(h, secret)
	}
}
