/*
Package secret makes HTTP clients that show the fleet's secret, which entry hosts
ask of each other and of operators.

# Usage

	client := &http.Client{
		Transport: &secret.Transport{
			Secret: text,
		},
	}
*/
package secret

import (
	"crypto/subtle"
	"net/http"

	"trefoilline.example/trefoilline/header"
)

// idlePerHost is how many idle connections are kept to each host.
const idlePerHost = 4

// direct reaches hosts by no proxy, and asks for no compression.
var direct = newDirect()

func newDirect() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DisableCompression = true
	t.MaxIdleConns = 0
	t.MaxIdleConnsPerHost = idlePerHost
	return t
}

// Transport shows the secret with each request. The zero value shows none.
type Transport struct {
	Secret string
}

// RoundTrip sends the request with the secret.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	shown := request.Clone(request.Context())
	shown.Header.Set(header.FleetSecret, t.Secret)
	return direct.RoundTrip(shown)
}

// Guard lets only requests that show the secret pass.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := r.Header.Get(header.FleetSecret)
		if subtle.ConstantTimeCompare([]byte(shown), []byte(secret)) != 1 {
			http.Error(w, "the fleet secret is missing or wrong", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
