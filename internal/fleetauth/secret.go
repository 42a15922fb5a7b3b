/*
Package fleetauth authenticates the HTTP requests that entry hosts and operators' tools
send to entry hosts, by the fleet secret, which all of them share. It is not used for
callers' requests.

# Usage

A client sends the fleet secret in the header [header.FleetSecret]:

	client := &http.Client{
		Transport: &fleetauth.Transport{
			Secret: text,
		},
	}

A server rejects requests without it:

	handler := fleetauth.RequireSecret(text, next)
*/
package fleetauth

import (
	"crypto/subtle"
	"net/http"

	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/internal/transport"
)

// maxIdleConnsPerHost is the largest number of idle connections that are kept to each
// host.
const maxIdleConnsPerHost = 4

// sharedTransport is the connection pool of all [Transport] values. It uses no proxy and
// requests no compression.
var sharedTransport = newSharedTransport()

func newSharedTransport() *transport.Checked {
	t := transport.NewDefault(maxIdleConnsPerHost)
	t.DisableCompression = true
	t.MaxIdleConns = 0
	return &transport.Checked{
		Base: t,
	}
}

// Transport adds the fleet secret to each request. The zero value sends an empty secret. All
// values share one connection pool.
type Transport struct {
	Secret string
}

// RoundTrip sends a copy of the request that has the secret.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	withSecret := request.Clone(request.Context())
	withSecret.Header.Set(header.FleetSecret, t.Secret)
	return sharedTransport.RoundTrip(withSecret)
}

// RequireSecret returns a handler that passes the requests with the secret on to next, and
// answers all others with status 403.
func RequireSecret(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := r.Header.Get(header.FleetSecret)
		if subtle.ConstantTimeCompare([]byte(presented), []byte(secret)) != 1 {
			http.Error(w, "the fleet secret is missing or wrong", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}
