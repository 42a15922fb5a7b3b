package exchange_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// BenchmarkSend sends the same request by a plain http.Client, by the client on
// kept connections and by the client on a new connection, in turn, and gives the
// ratios of the times.
func BenchmarkSend(b *testing.B) {
	server := start(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		_, _ = io.WriteString(w, "ok")
	}))
	plain := &http.Client{
		Transport: &http.Transport{},
	}
	client := newClient(b)
	var direct, kept, once time.Duration
	for b.Loop() {
		direct += timed(func() { sendPlain(b, plain, server) })
		kept += timed(func() { require.True(b, get(b.Context(), client, server, true)) })
		once += timed(func() { require.True(b, get(b.Context(), client, server, false)) })
	}
	b.ReportMetric(float64(direct.Nanoseconds())/float64(b.N), "plain-ns")
	b.ReportMetric(float64(kept)/float64(direct), "kept/plain")
	b.ReportMetric(float64(once)/float64(direct), "once/plain")
}

func timed(send func()) time.Duration {
	start := time.Now()
	send()
	return time.Since(start)
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
		exchange.FilterHeader(h, secret)
	}
}
