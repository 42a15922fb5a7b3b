/*
Package connection serves HTTP on the connections that a host accepts, and stops without a loss for callers:
each request that was read is answered, up to the end of the stop, and each last answer of a connection is delivered before the
connection is closed, at any time. It is a thin layer over [net/http], whose Shutdown drops a request that is read after it was
called, and which closes connections while answers are on their way. It logs the connections on which a caller may have lost
something.

# Usage

	server := &connection.Server{
		HTTP: &http.Server{
			Handler: handler,
		},
		Log: log,
	}
	go server.Serve(listener)
	<-ctx.Done()
	server.StopAccepting()
	open := server.Wait(stopContext)
	server.Close()
*/
package connection
