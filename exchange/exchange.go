/*
Package exchange sends requests from an entry host to backend servers, or to
another entry host. Each call of [Client.Send] makes one attempt and returns the
outcome of the request. The packages streamproxy, bufferproxy, retry and dedup use it;
they choose the server and decide on further attempts.

There are three outcomes, over which the code that calls Send switches:

  - [*Response]: the backend server has started to respond. [Copy] forwards the
    response, complete or visibly broken.
  - [NotRun]: no backend server ran the request. Either no byte of it was sent,
    because an attempt failed early or none was made, as in [Request.Reject]; or
    the backend server refused it, in a response that carries the request's ID.
    It is safe to send the request again to any server.
  - [*Unknown]: a backend server may have run the request.

In all packages on the path of a request, a backend server refuses a request, an entry
host rejects it, and a retry budget denies a retry.

Code outside this package can't implement NotRun. A [Request] keeps the worst
outcome of its attempts: once a server may have run it, a later attempt does not
return NotRun.

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
  - The timeout header (header.Dialect.Timeout) carries the time left for the
    request. Cancelling the context closes the connection.
  - The request ID header (header.Dialect.RequestID) carries the request's ID. A
    response with another ID is never forwarded.
  - A response that ends with its connection is complete only if the backend
    server has ended its direction in order.
  - A response with a status or a field name that HTTP does not allow is broken,
    whatever else is in it.
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
