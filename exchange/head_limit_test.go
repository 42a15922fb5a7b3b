package exchange_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// sendHead sends a request to a server whose response begins with the lines, and returns the outcome.
func sendHead(t *testing.T, lines string) exchange.Outcome {
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, stream, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = fmt.Fprintf(stream, "%s%s: r1\r\nContent-Length: 0\r\n\r\n", lines, header.RequestID)
		_ = stream.Flush()
	}))
	outcome := newClient(t).Send(t.Context(), server, newRequest("r1", http.MethodPost, "/", nil))
	if response, isResponse := outcome.(*exchange.Response); isResponse {
		response.Close()
	}
	return outcome
}

// TestHeadsOfManyLinesAreDropped guards against heads of short lines, which take many times their bytes once they are parsed, and exceed
// the memory when many servers send them.
func TestHeadsOfManyLinesAreDropped(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("a: 1\r\n", 300) + "\r\n"
	for name, lines := range map[string]string{
		"short lines":  ok + strings.Repeat("a: 1\r\n", 20_000),
		"other names":  ok + strings.Repeat("b:\n", 1001),
		"interim":      strings.Repeat(interim, 4) + ok,
		"long interim": strings.Repeat("HTTP/1.1 103 Early Hints\r\na: "+strings.Repeat("x", 50<<10)+"\r\n\r\n", 3) + ok,
	} {
		outcome := sendHead(t, lines)
		unknown, isUnknown := outcome.(*exchange.Unknown)
		require.True(t, isUnknown, name)
		var tooLong *exchange.HeadTooLongError
		require.ErrorAs(t, unknown.Cause, &tooLong, name)
	}
	for name, lines := range map[string]string{
		"many lines": ok + strings.Repeat("a: 1\r\n", 900),
		"interim":    interim + interim + ok,
		"long line":  ok + "a: " + strings.Repeat("x", 100<<10) + "\r\n",
	} {
		_, isResponse := sendHead(t, lines).(*exchange.Response)
		require.True(t, isResponse, name)
	}
}
