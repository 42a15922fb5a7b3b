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

const secret = "tk-4f9AbCd0e1Z2"

// places puts the key into each part of a request that can carry it.
var places = map[string]func(r *http.Request){
	"key-header":        func(r *http.Request) { r.Header.Set(header.APIKey, secret) },
	"underscore-header": func(r *http.Request) { r.Header["Trefoilline_Key"] = []string{secret} },
	"bearer":            func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+secret) },
	"bearer-in-lower":   func(r *http.Request) { r.Header.Set("Authorization", "  bearer\t"+secret) },
	"second-value":      func(r *http.Request) { r.Header["Authorization"] = []string{"Basic eA==", "Bearer " + secret} },
	"proxy":             func(r *http.Request) { r.Header.Set("Proxy-Authorization", "Bearer "+secret) },
	"ticket":            func(r *http.Request) { r.Header.Set(header.Ticket, secret) },
	"cookie":            func(r *http.Request) { r.Header.Set("Cookie", "a=1; trefoilline-key="+secret+"; b=2") },
	"cookie-quoted":     func(r *http.Request) { r.Header.Set("Cookie", `Trefoilline_Key="`+secret+`"`) },
	"query":             func(r *http.Request) { r.URL.RawQuery = "a=1&trefoilline-key=" + secret + "&b=2" },
	"query-escaped":     func(r *http.Request) { r.URL.RawQuery = "tr%65foilline-key=" + secret + "&b=%zz" },
	"query-semicolon":   func(r *http.Request) { r.URL.RawQuery = "a=1;trefoilline-key=" + secret + ";b=2" },
	"query-other-name":  func(r *http.Request) { r.URL.RawQuery = "k=" + url.QueryEscape(secret) },
	"referer":           func(r *http.Request) { r.Header.Set("Referer", "https://x/?trefoilline-key="+secret) },
	"other-header":      func(r *http.Request) { r.Header.Set("X-Api-Key", secret) },
	"connection-listed": func(r *http.Request) { r.Header.Set("Connection", header.APIKey); r.Header.Set(header.APIKey, secret) },
	"trailer":           func(r *http.Request) { r.Trailer = http.Header{header.APIKey: {secret}} },
	"trailer-bearer":    func(r *http.Request) { r.Trailer = http.Header{"Check": {"1"}, "X-Auth": {"Bearer " + secret}} },
}

// seenWith counts the places whose key a backend server got to see.
func seenWith(t *testing.T, host func(server netip.AddrPort) http.HandlerFunc) int {
	seen := 0
	for place, put := range places {
		server := &backend.Server{}
		address := start(t, host(start(t, server)))
		body := []byte("a body may hold anything, " + secret + " too")
		request, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/orders", io.MultiReader(bytes.NewReader(body)))
		require.NoError(t, err)
		request.Header.Set(header.APIKey, secret)
		request.Header.Set("Accept-Language", "es")
		put(request)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		record := server.RequestLog()
		require.Len(t, record.Entries, 1, place)
		text, err := json.Marshal(record)
		require.NoError(t, err)
		if strings.Contains(string(text), secret) || strings.Contains(string(text), strings.ToLower(secret)) {
			seen++
		}
		if request.Trailer.Get("Check") != "" {
			require.Equal(t, "1", record.Entries[0].Trailer.Get("Check"))
		}
		sum := sha256.Sum256(body)
		require.Equal(t, hex.EncodeToString(sum[:]), record.Entries[0].BodyHash)
		require.Equal(t, "es", record.Entries[0].Header.Get("Accept-Language"))
	}
	return seen
}

func TestNoBackendServerSeesTheKey(t *testing.T) {
	naive := seenWith(t, func(server netip.AddrPort) http.HandlerFunc {
		return naiveHost(http.DefaultClient, server)
	})
	client := newClient(t)
	stripped := seenWith(t, func(server netip.AddrPort) http.HandlerFunc {
		return entryHost(client, server)
	})
	t.Logf("keys seen in %d requests: plain %d, exchange %d", len(places), naive, stripped)
	require.Positive(t, naive)
	require.Zero(t, stripped)
}

func TestOtherPartsPass(t *testing.T) {
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

func FuzzForwardable(f *testing.F) {
	f.Add("a=1&trefoilline-key=k123456789", "x; trefoilline-key=k123456789", "Authorization", "Bearer k123456789", "k123456789")
	f.Add("a=%74refoilline-key=;b", "Trefoilline_Key=1,b=2", "Trefoilline_key", "x", "abcdefgh")
	f.Add("%=%&%2=k%31", "=;;,", "Connection", "Trefoilline-Key, X", "k1234567")
	f.Fuzz(func(t *testing.T, query, cookie, name, value, key string) {
		if len(key) < 8 || strings.ContainsAny(key, "&;=, \t%+\"") {
			return // no key that the system issues
		}
		left := exchange.FilterQuery(query, key)
		require.NotContains(t, strings.ToLower(left), strings.ToLower(key))
		parsed, _ := url.ParseQuery(left)
		for parameter, values := range parsed {
			require.False(t, strings.EqualFold(parameter, header.APIKeyParameter))
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
			require.False(t, strings.EqualFold(c.Name, header.APIKeyCookie))
		}
		for _, values := range h {
			require.NotContains(t, strings.Join(values, "\n"), key)
		}
	})
}
