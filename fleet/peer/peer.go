/*
Package peer sends the messages of a [fleet.Node] between hosts over HTTP, and
serves immutable objects of the store from one host to another. It is not on the
path of a request.

A message is the body of a POST to [MessagesPath]. The body of the response has
the messages that reply to it, one after the other. Headers that are not needed
are left out, because a host exchanges about 20 messages a second.

# Usage

	transport := &peer.Transport{
		Node: node,
	}
	mux.Handle(peer.MessagesPath, transport)
	go transport.Run(ctx)

Immutable objects are fetched from other hosts where possible:

	objects := &peer.ObjectCache{
		Store:       store,
		Node:        node,
		IsImmutable: func(key string) bool { return strings.HasPrefix(key, "table/part/") },
	}
	mux.Handle(peer.ObjectsPath, objects)
*/
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/transport"
)

// MessagesPath is the URL path to which hosts send messages of their nodes.
const MessagesPath = "/trefoilline/fleet"

const (
	// maxBodyBytes is the maximum number of bytes read from a request or response
	// body.
	maxBodyBytes = 16 << 20
	// messageTimeout bounds a request with its response. A later response is of no
	// use.
	messageTimeout = 2 * time.Second
	// maxInFlight is the maximum number of requests that are waiting for their
	// response.
	maxInFlight = 256
	// maxIdleConnsPerHost is the largest number of idle connections that are kept to each
	// host.
	maxIdleConnsPerHost = 2
)

// Transport sends and receives the messages of one node. It implements
// [http.Handler]. Exported fields are set before first use.
type Transport struct {
	Node *fleet.Node
	// HTTPClient sends the messages. Nil means a client that the package shares.
	HTTPClient *http.Client
	// OnError, if set, is called for each message that could not be sent or
	// decoded. The node itself tolerates lost messages.
	OnError func(error)

	inFlight atomic.Int64
}

// defaultClient is used where no HTTPClient is set.
var defaultClient = &http.Client{
	Transport: newHTTPTransport(),
}

// newHTTPTransport returns a transport that keeps connections open to every
// host and requests no compression.
func newHTTPTransport() *transport.Checked {
	t := transport.NewDefault(maxIdleConnsPerHost)
	t.DisableCompression = true
	t.MaxIdleConns = 0
	return &transport.Checked{
		Base: t,
	}
}

// Run calls the node's Tick at its interval and sends the resulting messages,
// until the context ends.
func (t *Transport) Run(ctx context.Context) {
	ticker := time.NewTicker(t.Node.TickInterval())
	defer ticker.Stop()
	for {
		t.Send(ctx, t.Node.Tick())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Send sends each message in its own goroutine and returns at once. Replies are
// passed to the node, and the messages that result from them are sent in turn.
func (t *Transport) Send(ctx context.Context, envelopes []fleet.Envelope) {
	for _, envelope := range envelopes {
		if t.inFlight.Add(1) > maxInFlight {
			t.inFlight.Add(-1)
			t.reportError(&InFlightLimitError{
				Host: envelope.To.Name,
			})
			continue
		}
		go t.send(ctx, envelope)
	}
}

func (t *Transport) send(ctx context.Context, envelope fleet.Envelope) {
	replies, err := t.post(ctx, envelope)
	t.inFlight.Add(-1)
	if err != nil {
		t.reportError(&SendError{
			Host:  envelope.To.Name,
			Cause: err,
		})
		return
	}
	for _, reply := range replies {
		t.Send(ctx, t.Node.Receive(reply))
	}
}

// post sends one message and returns the messages in the response.
func (t *Transport) post(ctx context.Context, envelope fleet.Envelope) ([]fleet.Message, error) {
	body, err := fleet.Encode(envelope.Message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	target := "http://" + envelope.To.Address.String() + MessagesPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// An empty value keeps net/http from sending its default.
	request.Header.Set("User-Agent", "")
	response, err := t.client().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{
			Status: response.StatusCode,
		}
	}
	return decodeMessages(response.Body)
}

func (t *Transport) client() *http.Client {
	if t.HTTPClient != nil {
		return t.HTTPClient
	}
	return defaultClient
}

func (t *Transport) reportError(err error) {
	if t.OnError != nil {
		t.OnError(err)
	}
}

// ServeHTTP passes the messages in the request to the node and responds with
// the node's replies.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	messages, err := decodeMessages(r.Body)
	if err != nil {
		t.reportError(err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var reply bytes.Buffer
	for _, message := range messages {
		for _, envelope := range t.Node.Receive(message) {
			body, err := fleet.Encode(envelope.Message)
			if err != nil {
				t.reportError(err)
				continue
			}
			reply.Write(body)
		}
	}
	header := w.Header()
	// Nil keeps net/http from sending its default.
	header["Date"] = nil
	header["Content-Type"] = nil
	// The sending host polls again if the response is lost.
	_, _ = w.Write(reply.Bytes())
}

// decodeMessages decodes the messages in a body.
func decodeMessages(body io.Reader) ([]fleet.Message, error) {
	decoder := json.NewDecoder(io.LimitReader(body, maxBodyBytes))
	var messages []fleet.Message
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return messages, nil
		}
		if err != nil {
			return nil, err
		}
		message, err := fleet.Decode(raw)
		if err != nil {
			return nil, err
		}
		messages = append(messages, message)
	}
}
