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

// BenchmarkSend sends the same request through a plain http.Client, through
// exchange.Client on reused connections, and through exchange.Client on a new
// connection each time. It reports the times of the latter two relative to the
// plain client, as kept/plain and once/plain.
func BenchmarkSend(b *testing.B) {
	server := startServer(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		_, _ = io.WriteString(w, "ok")
	}))
	plainClient := &http.Client{
		Transport: &http.Transport{},
	}
	client := newClient(b)
	var plainTime, reusedTime, newTime time.Duration
	for b.Loop() {
		plainTime += measure(func() { sendPlain(b, plainClient, server) })
		reusedTime += measure(func() { require.True(b, get(b.Context(), client, server, true)) })
		newTime += measure(func() { require.True(b, get(b.Context(), client, server, false)) })
	}
	b.ReportMetric(float64(plainTime.Nanoseconds())/float64(b.N), "plain-ns")
	b.ReportMetric(float64(reusedTime)/float64(plainTime), "kept/plain")
	b.ReportMetric(float64(newTime)/float64(plainTime), "once/plain")
}

func measure(send func()) time.Duration {
	start := time.Now()
	send()
	return time.Since(start)
}

func sendPlain(b *testing.B, client *http.Client, server netip.AddrPort) {
	response, err := client.Get("http://" + server.String() + "/")
	require.NoError(b, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
}

// BenchmarkFilterHeader measures the removal of the caller's API key from headers.
func BenchmarkFilterHeader(b *testing.B) {
	h := http.Header{
		"Accept":        {"text/html"},
		"Authorization": {"Bearer " + testKey},
		"Cookie":        {"a=1; b=2; c=3"},
		"User-Agent":    {"Mozilla/5.0 (X11; Linux x86_64)"},
	}
	for b.Loop() {
		exchange.FilterHeader(h, testKey)
	}
}
