/*
Package exchange sends requests from an entry host to backend servers, or to
another entry host. It makes one attempt at a time and reports the outcome of
the request; choosing the server and retrying are the caller's part.

There are three outcomes, and a caller of [Client.Send] switches over them:

  - [*Response]: the backend server has started to respond. [Copy] forwards the
    response, complete or visibly broken.
  - [NotRun]: the request did not take effect. Either no byte of it was sent to
    a backend server, or the backend server refused it without running it, in a
    response that carries the request's ID. It is safe to send it again to any
    server.
  - [*Unknown]: the request may have run.

Only this package can create a [NotRun]: when an attempt ended before it sent a
byte, or when a backend server refused the request in a response with the
request's ID. A [Request] keeps the worst outcome of its attempts: once it may
have run, a later attempt does not report it as not run.

The client also has these properties:

  - Each attempt may write to one connection only. [net/http.Transport] retries
    some requests on its own when a connection breaks; the client blocks these
    retries.
  - A non-idempotent request uses a new connection by default, because an open
    connection may have become unresponsive. Checking an open connection would
    cost a round trip, as much as opening a new one.
  - After an attempt that got no response in time, the client closes its idle
    connections to that backend server, because the fault that made one
    connection unresponsive may affect all of them.
  - The deadline header carries the time left for the request. Cancelling the
    context closes the connection.
  - The request header carries the request's ID. A response with another ID is
    never forwarded.
  - Hop-by-hop headers, and whatever can contain the caller's API key, are
    not forwarded.

# Usage

	client := &exchange.Client{}
	request := exchange.FromHTTP(r, id)
	switch o := client.Send(r.Context(), server, request).(type) {
	case *exchange.Response:
		defer o.Close()
		err = exchange.Copy(w, o)
	case exchange.NotRun:
		// Send it to another backend server, or reject it with o.Reason().
	case *exchange.Unknown:
		// Report the unknown outcome. Send it again only if it is idempotent.
	}
*/
package exchange
