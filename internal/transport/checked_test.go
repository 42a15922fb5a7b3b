package transport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/transport"
)

// get sends a request to a server with the raw response, and returns the body.
func get(raw string) (string, error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connection, stream, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = stream.WriteString(raw)
		_ = stream.Flush()
	}))
	defer server.Close()
	client := &http.Client{
		Transport: transport.New(time.Second, time.Second, 1),
	}
	response, err := client.Get(server.URL)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestResponsesWithInvalidNamesAreRejected guards against the store's or another host's response being read although a line of its head
// was ignored, and against interim responses without end.
func TestResponsesWithInvalidNamesAreRejected(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
		interim = "HTTP/1.1 103 Early Hints\r\nName: x\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	)
	for _, raw := range []string{
		strings.Replace(ok, "\r\n", "\r\nContent-Length : 2\r\n", 1),
		strings.Replace(interim, "Name", "Bad Name", 1) + ok,
		chunked + "Name : x\r\n\r\n",
	} {
		_, err := get(raw)
		var invalid *header.InvalidNameError
		require.ErrorAs(t, err, &invalid, raw)
	}
	var tooMany *transport.InterimResponsesError
	_, err := get(strings.Repeat(interim, 20) + ok)
	require.ErrorAs(t, err, &tooMany)
	for _, raw := range []string{
		strings.Repeat(interim, 10) + ok,
		chunked + "Name: x\r\n\r\n",
	} {
		body, err := get(raw)
		require.NoError(t, err)
		require.Equal(t, "body", body)
	}
}
