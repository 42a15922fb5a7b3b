/*
Package connection serves HTTP on the connections that a host accepts, and stops without a loss for callers:
each request that was read is answered, up to the end of the stop. It is a thin layer over [net/http], whose own Shutdown
drops a request that is read after it was called. It logs the connections on which a caller may have lost something.

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
	err := server.Wait(stopContext)
	server.Close()
*/
package connection
