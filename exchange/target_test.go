package exchange_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// targets are request targets that are not those which the URL of a request gives.
var targets = []string{
	"/a?",
	"/a?q=trefoilline-key&page=",
	"/a?note=Trefoilline_Key%20ring&tr%65foilline-key2=1",
	"/a/%2Fb|c^d\"e?x={}|^`é%zz&&;",
	"//a|b//%2F?y#z",
	"/%7Ea/~a/..//./b;c?d=//e",
	"/a?b?c=http://d/e",
	"/é\xff?" + strings.Repeat("f|", 5000),
}

// sentRequest is what a backend server gets.
type sentRequest struct {
	target string
	header http.Header
}

// sendRaw sends a request through a client of a dialect, and returns what the server gets.
func sendRaw(t *testing.T, dialect *header.Dialect, key, target string, lines ...string) sentRequest {
	var mu sync.Mutex
	var got sentRequest
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got = sentRequest{
			target: r.RequestURI,
			header: r.Header.Clone(),
		}
		w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	client := newClient(t)
	client.Dialect = dialect
	proxy := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := exchange.FromHTTP(r, "r1")
		request.APIKey = key
		outcome := client.Send(r.Context(), server, request)
		response, isResponse := outcome.(*exchange.Response)
		require.True(t, isResponse, "%v", outcome)
		_ = exchange.Copy(w, response)
		response.Close()
	}))
	exchangeRaw(t, proxy, target, lines)
	mu.Lock()
	defer mu.Unlock()
	return got
}

// exchangeRaw writes a request as it is and reads the response.
func exchangeRaw(t *testing.T, address netip.AddrPort, target string, lines []string) {
	connection, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	defer connection.Close()
	lines = append([]string{"GET " + target + " HTTP/1.1", "Host: shop.example", "Connection: close"}, lines...)
	_, err = io.WriteString(connection, strings.Join(lines, "\r\n")+"\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, target)
	require.NoError(t, response.Body.Close())
}

// platformDialect is that of callers who send their keys in one header only.
func platformDialect() *header.Dialect {
	return &header.Dialect{
		RequestID:     "Request-Id",
		Timeout:       header.Timeout,
		FormatTimeout: header.FormatTimeout,
		APIKey:        "Authorization",
		KeepsTargets:  true,
	}
}

// TestTargetsAreForwardedByteForByte guards against targets that change on the way: parameters whose text has the name of the one with
// the key are left out, an empty query loses its question mark, and some characters of paths are encoded.
func TestTargetsAreForwardedByteForByte(t *testing.T) {
	for _, target := range targets {
		require.Equal(t, target, sendRaw(t, platformDialect(), testKey, target).target)
		require.Equal(t, target, sendRaw(t, nil, testKey, target).target)
	}
	require.Equal(t, "/a?trefoilline-key=x", sendRaw(t, platformDialect(), testKey, "/a?trefoilline-key=x").target)
	require.Equal(t, "//a|b?c=1", sendRaw(t, nil, testKey, "//a|b?trefoilline-key=x&c=1").target)
	require.Equal(t, "/a|b?c", sendRaw(t, platformDialect(), testKey, "http://shop.example/a|b?c").target)
}

// TestHeadersAreForwardedUnlessTheyHaveTheKey guards against headers and cookies that are left out for a part of their values, or for the
// name of a header of the product's own interface.
func TestHeadersAreForwardedUnlessTheyHaveTheKey(t *testing.T) {
	got := sendRaw(t, platformDialect(), testKey, "/", "Authorization: Token "+testKey, "X-Note: the trefoilline-key ring", "Trefoilline-Note: 1",
		"Cookie: a=1; note=Trefoilline_Key, b=2;c", "Cookie: d="+testKey+"; e=5", "X-Copy: "+testKey).header
	require.Empty(t, got.Values("Authorization"))
	require.Empty(t, got.Values("X-Copy"))
	require.Equal(t, "the trefoilline-key ring", got.Get("X-Note"))
	require.Equal(t, "1", got.Get("Trefoilline-Note"))
	require.Equal(t, []string{"a=1; note=Trefoilline_Key, b=2;c", "e=5"}, got.Values("Cookie"))
}
