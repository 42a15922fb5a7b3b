/*
Package peer carries the messages of a [fleet.Node] over HTTP, and immutable
objects between hosts.

A message is the body of a POST to [Path]; the messages that answer it come
back in the body of the response, one after the other. Headers that nobody
needs are left out, since a host exchanges some twenty messages a second.

# Usage

	exchange := &peer.Exchange{
		Node: node,
	}
	mux.Handle(peer.Path, exchange)
	go exchange.Run(ctx)

Immutable objects of the store come from peers where they can:

	objects := &peer.Objects{
		Store:     store,
		Node:      node,
		Immutable: func(key string) bool { return strings.HasPrefix(key, "table/part/") },
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
)

// MessagesPath is where hosts take each other's messages.
const MessagesPath = "/trefoilline/fleet"

const (
	// maxBody bounds what is read of one body, in bytes.
	maxBody = 16 << 20
	// timeout bounds one exchange; an answer after that helps nobody.
	timeout = 2 * time.Second
	// maxInFlight bounds the exchanges begun and not ended.
	maxInFlight = 256
)

// Exchange sends and takes the messages of one node. It implements
// [http.Handler]. Node is set before first use.
type Transport struct {
	Node *fleet.Node
	// HTTP carries the messages; nil means a client of its own for the process.
	HTTPClient *http.Client
	// OnError, if set, is called for each message that could not be sent or
	// read. The node copes with lost messages by itself.
	OnError func(error)

	inFlight atomic.Int64
}

// shared is used by exchanges that bring no client.
var shared = &http.Client{
	Transport: newTransport(),
}

// newTransport keeps a connection open to each host that is polled often and
// asks for no compression.
func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DisableCompression = true
	t.MaxIdleConns = 0
	t.MaxIdleConnsPerHost = 2
	return t
}

// Run ticks the node and sends what it wants sent, until the context ends.
func (e *Transport) Run(ctx context.Context) {
	ticker := time.NewTicker(e.Node.TickInterval())
	defer ticker.Stop()
	for {
		e.Send(ctx, e.Node.Tick())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Send sends each envelope on its own and hands the answers to the node. It
// doesn't wait for them.
func (e *Transport) Send(ctx context.Context, envelopes []fleet.Envelope) {
	for _, envelope := range envelopes {
		if e.inFlight.Add(1) > maxInFlight {
			e.inFlight.Add(-1)
			e.report(&InFlightLimitError{
				Host: envelope.To.Name,
			})
			continue
		}
		go e.send(ctx, envelope)
	}
}

func (e *Transport) send(ctx context.Context, envelope fleet.Envelope) {
	answers, err := e.post(ctx, envelope)
	e.inFlight.Add(-1)
	if err != nil {
		e.report(&SendError{
			Host:  envelope.To.Name,
			Cause: err,
		})
		return
	}
	for _, answer := range answers {
		e.Send(ctx, e.Node.Receive(answer))
	}
}

// post makes one exchange.
func (e *Transport) post(ctx context.Context, envelope fleet.Envelope) ([]fleet.Message, error) {
	body, err := fleet.Encode(envelope.Message)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := "http://" + envelope.To.Address.String() + MessagesPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// An empty value keeps net/http from sending its own.
	request.Header.Set("User-Agent", "")
	response, err := e.client().Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{
			Status: response.StatusCode,
		}
	}
	return decodeAll(response.Body)
}

func (e *Transport) client() *http.Client {
	if e.HTTPClient != nil {
		return e.HTTPClient
	}
	return shared
}

func (e *Transport) report(err error) {
	if e.OnError != nil {
		e.OnError(err)
	}
}

// ServeHTTP implements [http.Handler].
func (e *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	messages, err := decodeAll(r.Body)
	if err != nil {
		e.report(err)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var answer bytes.Buffer
	for _, message := range messages {
		for _, envelope := range e.Node.Receive(message) {
			body, err := fleet.Encode(envelope.Message)
			if err != nil {
				e.report(err)
				continue
			}
			answer.Write(body)
		}
	}
	header := w.Header()
	// Nil keeps net/http from sending its own.
	header["Date"] = nil
	header["Content-Type"] = nil
	// A host that has gone away asks again.
	_, _ = w.Write(answer.Bytes())
}

// decodeAll reads messages until the end of the body.
func decodeAll(body io.Reader) ([]fleet.Message, error) {
	decoder := json.NewDecoder(io.LimitReader(body, maxBody))
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
