package connection

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/observe"
)

// Server serves HTTP on a listener until it is stopped: with StopAccepting, then Wait, then Close. Its fields must be set
// before Serve; the zero value of Log discards the events.
type Server struct {
	// HTTP is the server of the connections. Serve sets its ConnState and wraps its Handler.
	HTTP *http.Server
	Log  observe.Log
	// Limits returns the limits in force, and may be called often. At the limit of connections, those that wait for nothing and
	// those of callers that send nothing are closed for a new one, first those of the caller address that has the most. One
	// with a request for which [Keep] was called is not closed. If Limits is nil, nothing is limited.
	Limits func() Limits
	// Name is the name of the listener in Metrics and in the log. Metrics may be nil.
	Name    string
	Metrics *observe.Metrics

	// headerBytes is MaxHeaderBytes of the limits.
	headerBytes atomic.Int64
	// lossesLogged is how many losses were logged since the last check of the connections.
	lossesLogged atomic.Int64
	closuresMu   sync.Mutex
	closures     closures

	isStopping, isClosed atomic.Bool
	// awaited is how many connections wait until their callers have read the last answer.
	awaited atomic.Int64
	// mu guards the fields below.
	mu        sync.Mutex
	listener  *listener
	isServing bool
	conns     map[*conn]struct{}
	// over is closed once no connection is left after a stop. It is nil before the stop.
	over chan struct{}
	// fullUntil is the time until which new connections above the limit are refused at once.
	fullUntil time.Time
}

// FirstRequestTime is how long a server that stops waits for the first request on a connection.
const FirstRequestTime = 250 * time.Millisecond

// Serve serves the connections of the listener, which it closes at the end. It returns nil if the server was
// stopped, or the error of the listener.
func (s *Server) Serve(tcp *net.TCPListener) error {
	handler := s.HTTP.Handler
	s.HTTP.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isStopping.Load() {
			w.Header().Set("Connection", "close")
		}
		withBody(r)
		handler.ServeHTTP(w, r)
	})
	s.HTTP.ConnState = s.updateState
	s.HTTP.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return withConn(ctx, c.(*conn)) }
	l := s.Listen(tcp)
	done := s.startSweep()
	err := s.HTTP.Serve(l)
	close(done)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isServing = false
	s.signalIfOver()
	if errors.Is(err, net.ErrClosed) && s.isStopping.Load() {
		return nil
	}
	return err
}

// Listen returns a listener that accepts the connections of the given one for Serve, and stops with the server.
func (s *Server) Listen(tcp *net.TCPListener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isServing = true
	s.listener = &listener{
		TCPListener: tcp,
		server:      s,
	}
	if s.isStopping.Load() {
		s.listener.stop()
	}
	return s.listener
}

// StopAccepting closes the listener, and the connections whose callers wait for nothing: at once those that
// were used before, and the others after a moment, in which their first request may arrive. All others are closed
// after their next answer.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isStopping.Swap(true) {
		return
	}
	s.over = make(chan struct{})
	if s.listener != nil {
		s.listener.stop()
	}
	for c := range s.conns {
		if c.isIn(http.StateIdle) {
			c.endIfSilent()
		}
	}
	time.AfterFunc(FirstRequestTime, s.endSilent)
	s.signalIfOver()
}

// endSilent closes the connections whose callers wait for nothing.
func (s *Server) endSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.isIn(http.StateActive) {
			c.endIfSilent()
		}
	}
}

// Wait waits until all connections are closed after StopAccepting, at most until the context ends, and returns
// how many are still open.
func (s *Server) Wait(ctx context.Context) int {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	select {
	case <-over:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections at once, also those whose callers have not read the last answer.
func (s *Server) Close() error {
	s.isClosed.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		// An error means that the connection is closed.
		_ = c.TCPConn.SetReadDeadline(past)
	}
	s.mu.Unlock()
	return s.HTTP.Close()
}

// startSweep starts the checks of the connections if there are limits, and returns the channel that ends them.
func (s *Server) startSweep() chan<- struct{} {
	done := make(chan struct{})
	if s.Limits != nil {
		s.headerBytes.Store(int64(s.Limits().MaxHeaderBytes))
		go s.sweep(done)
	}
	return done
}

// admit keeps an accepted connection, or closes it if it is above the limit and no other one can be closed for it.
func (s *Server) admit(c *conn) bool {
	if s.Limits != nil && !s.makeRoom(c.accepted, 1) {
		s.count(refused, c.usage.caller)
		// An error means that the connection is closed.
		_ = c.TCPConn.Close()
		return false
	}
	s.add(c)
	return true
}

// add keeps an accepted connection.
func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*conn]struct{})
	}
	s.conns[c] = struct{}{}
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signalIfOver()
}

// updateState notes what the HTTP server does with a connection.
func (s *Server) updateState(accepted net.Conn, state http.ConnState) {
	c := accepted.(*conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.state.Store(int32(state))
	switch {
	case state == http.StateActive:
		c.resume()
	case state == http.StateIdle && s.isStopping.Load():
		c.becomeIdle()
		// The answer began before the stop and does not say that the connection is closed.
		c.endIfSilent()
	case state == http.StateIdle:
		c.becomeIdle()
	}
}

// isOver reports whether the server has nothing more to do.
func (s *Server) isOver() bool { return s.isStopping.Load() && !s.isServing && len(s.conns) == 0 }

// signalIfOver lets Wait return if the server has nothing more to do.
func (s *Server) signalIfOver() {
	if !s.isOver() {
		return
	}
	select {
	case <-s.over:
	default:
		close(s.over)
	}
}
