/*
Package exchange sends one request from an entry host to one backend server and
says what became of it.

There are three outcomes, and a caller of [Client.Send] switches over them:

  - [*Answered]: the backend server's answer has begun. [Copy] passes it on,
    whole or visibly broken.
  - [NotRun]: no part of the request was handed to a backend server, or the
    backend server that got it said, under the request's name, that it did not
    run it. The request may be sent again anywhere.
  - [*Unknown]: the request may have run.

[NotRun] can't be built outside this package, and inside it only from a gate
that was shut before a byte passed it, or from a refusal that a backend server
sent under the request's name. A [Request] remembers the worst of its tries, so
that a request that may have run once never counts as not run later.

What the client does besides:

  - Each try has a gate on its connection. [net/http.Transport] replays some
    requests on its own when a connection breaks; the gate admits a single
    connection to each try, so that no replay goes out.
  - A request that may run only once goes on a new connection, because an open
    one may have gone silent. Proving an open one alive would cost a round trip,
    which is the price of a new one.
  - After a try without an answer, all open connections to that backend server
    are dropped, because whatever swallowed one may have swallowed all.
  - The time left goes along in the deadline header, and cancellation closes the
    connection.
  - The request's name goes along; an answer that echoes another name is never
    passed on.
  - Hop-by-hop headers and whatever can carry the caller's key stay here.

# Usage

	client := &exchange.Client{}
	request := exchange.FromHTTP(r, name)
	switch o := client.Send(r.Context(), server, request).(type) {
	case *exchange.Answered:
		defer o.Close()
		err = exchange.Copy(w, o)
	case exchange.NotRun:
		// Send it to another backend server, or refuse it with o.Reason().
	case *exchange.Unknown:
		// Say so; never send it again if it may run only once.
	}
*/
package exchange
