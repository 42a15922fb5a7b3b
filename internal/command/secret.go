package command

import (
	"net/http"

	"trefoilline.example/trefoilline/header"
)

// hostTransport reaches entry hosts directly, by no proxy.
var hostTransport = &http.Transport{}

// secretTransport shows the fleet's secret to entry hosts, which answer
// operators' queries to nobody else.
type secretTransport struct {
	secret string
}

// RoundTrip sends the request with the secret.
func (t *secretTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	shown := request.Clone(request.Context())
	shown.Header.Set(header.FleetSecret, t.secret)
	return hostTransport.RoundTrip(shown)
}

// hostHTTP asks entry hosts what anyone may ask.
var hostHTTP = &http.Client{
	Transport: hostTransport,
}
