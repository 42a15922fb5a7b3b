package exchange_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/standin/backend"
)

const testKey = "tk-4f9AbCd0e1Z2"

// keyLocations has functions that put the API key into each part of a request that
// can contain it.
var keyLocations = map[string]func(r *http.Request){
	"key-header":        func(r *http.Request) { r.Header.Set(header.APIKey, testKey) },
	"underscore-header": func(r *http.Request) { r.Header["Trefoilline_Key"] = []string{testKey} },
	"bearer":            func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+testKey) },
	"bearer-in-lower":   func(r *http.Request) { r.Header.Set("Authorization", "  bearer\t"+testKey) },
	"second-value":      func(r *http.Request) { r.Header["Authorization"] = []string{"Basic eA==", "Bearer " + testKey} },
	"proxy":             func(r *http.Request) { r.Header.Set("Proxy-Authorization", "Bearer "+testKey) },
	"ticket":            func(r *http.Request) { r.Header.Set(header.Ticket, testKey) },
	"cookie":            func(r *http.Request) { r.Header.Set("Cookie", "a=1; trefoilline-key="+testKey+"; b=2") },
	"cookie-quoted":     func(r *http.Request) { r.Header.Set("Cookie", `Trefoilline_Key="`+testKey+`"`) },
	"query":             func(r *http.Request) { r.URL.RawQuery = "a=1&trefoilline-key=" + testKey + "&b=2" },
	"query-escaped":     func(r *http.Request) { r.URL.RawQuery = "tr%65foilline-key=" + testKey + "&b=%zz" },
	"query-semicolon":   func(r *http.Request) { r.URL.RawQuery = "a=1;trefoilline-key=" + testKey + ";b=2" },
	"query-other-name":  func(r *http.Request) { r.URL.RawQuery = "k=" + url.QueryEscape(testKey) },
	"referer":           func(r *http.Request) { r.Header.Set("Referer", "https://x/?trefoilline-key="+testKey) },
	"other-header":      func(r *http.Request) { r.Header.Set("X-Api-Key", testKey) },
	"connection-listed": func(r *http.Request) { r.Header.Set("Connection", header.APIKey); r.Header.Set(header.APIKey, testKey) },
	"trailer":           func(r *http.Request) { r.Trailer = http.Header{header.APIKey: {testKey}} },
	"trailer-bearer":    func(r *http.Request) { r.Trailer = http.Header{"Check": {"1"}, "X-Auth": {"Bearer " + testKey}} },
}

// countLeakedKeys sends one request for each key location through the forwarding
// handler and returns the number of requests in which the backend server received
// the API key. It also checks that the rest of the request arrives unchanged.
func countLeakedKeys(t *testing.T, newForwarder func(server netip.AddrPort) http.HandlerFunc) int {
	leaked := 0
	for location, addKey := range keyLocations {
		server := &backend.Server{}
		address := startServer(t, newForwarder(startServer(t, server)))
		body := []byte("a body may hold anything, " + testKey + " too")
		request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/orders", io.MultiReader(bytes.NewReader(body)))
		require.NoError(t, err)
		request.Header.Set(header.APIKey, testKey)
		request.Header.Set("Accept-Language", "es")
		addKey(request)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		record := server.RequestLog()
		require.Len(t, record.Entries, 1, location)
		text, err := json.Marshal(record)
		require.NoError(t, err)
		if strings.Contains(string(text), testKey) || strings.Contains(string(text), strings.ToLower(testKey)) {
			leaked++
		}
		if request.Trailer.Get("Check") != "" {
			require.Equal(t, "1", record.Entries[0].Trailer.Get("Check"))
		}
		sum := sha256.Sum256(body)
		require.Equal(t, hex.EncodeToString(sum[:]), record.Entries[0].BodyHash)
		require.Equal(t, "es", record.Entries[0].Header.Get("Accept-Language"))
	}
	return leaked
}

// TestBackendServersNeverGetTheKey guards against an API key that reaches a
// backend server outside the key header. A proxy that removes only that header leaks it.
func TestBackendServersNeverGetTheKey(t *testing.T) {
	leakedByPlain := countLeakedKeys(t, func(server netip.AddrPort) http.HandlerFunc {
		return forwardPlainly(http.DefaultClient, server)
	})
	client := newClient(t)
	leakedByExchange := countLeakedKeys(t, func(server netip.AddrPort) http.HandlerFunc {
		return forwardWithExchange(client, server)
	})
	t.Logf("keys leaked in %d requests: http.Client %d, exchange.Client %d", len(keyLocations), leakedByPlain, leakedByExchange)
	require.Positive(t, leakedByPlain)
	require.Zero(t, leakedByExchange)
}

func TestFiltersKeepEverythingWithoutKey(t *testing.T) {
	require.Equal(t, "a=1&b=2", exchange.FilterQuery("a=1&trefoilline-key=x&b=2", "x"))
	require.Equal(t, "a=%zz&&c", exchange.FilterQuery("a=%zz&&c", "x"))
	h := exchange.FilterHeader(http.Header{
		"Cookie":        {"a=1; trefoilline-key=k; b=2"},
		"Authorization": {"Basic eA=="},
		"Accept":        {"text/html"},
		"User-Agent":    {"till"},
	}, "k1")
	require.Equal(t, http.Header{
		"Cookie":        {"a=1; b=2"},
		"Authorization": {"Basic eA=="},
		"Accept":        {"text/html"},
		"User-Agent":    {"till"},
	}, h)
}

func FuzzFiltersRemoveKey(f *testing.F) {
	f.Add("a=1&trefoilline-key=k123456789", "x; trefoilline-key=k123456789", "Authorization", "Bearer k123456789", "k123456789")
	f.Add("a=%74refoilline-key=;b", "Trefoilline_Key=1,b=2", "Trefoilline_key", "x", "abcdefgh")
	f.Add("%=%&%2=k%31", "=;;,", "Connection", "Trefoilline-Key, X", "k1234567")
	f.Fuzz(func(t *testing.T, query, cookie, name, value, key string) {
		if len(key) < 8 || strings.ContainsAny(key, "&;=, \t%+\"") {
			return // not a key that the system issues
		}
		filtered := exchange.FilterQuery(query, key)
		require.NotContains(t, strings.ToLower(filtered), strings.ToLower(key))
		parsed, _ := url.ParseQuery(filtered)
		for parameter, values := range parsed {
			require.NotEqual(t, header.APIKeyParameter, parameter)
			require.NotContains(t, values, key)
		}
		h := exchange.FilterHeader(http.Header{
			"Cookie": {cookie},
			name:     {value, key, "Bearer " + key},
		}, key)
		require.Empty(t, h.Get(header.APIKey))
		request := http.Request{
			Header: h,
		}
		for _, c := range request.Cookies() {
			require.NotEqual(t, header.APIKeyCookie, c.Name)
		}
		for _, values := range h {
			require.NotContains(t, strings.Join(values, "\n"), key)
		}
	})
}
