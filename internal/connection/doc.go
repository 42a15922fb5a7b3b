/*
Package connection keeps what happens on the connections that a host accepts, beside the HTTP
server that reads and writes them, and logs the connections on which a caller may have lost something: a
request that got no answer, and an answer that was on its way when the connection was closed.

# Usage

	listener := &connection.Listener{
		Listener: tcpListener,
		Log:      log,
	}
	err := httpServer.Serve(listener)
*/
package connection
