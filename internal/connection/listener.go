package connection

import (
	"errors"
	"net"
	"os"
	"time"
)

// listener accepts the connections of a server.
type listener struct {
	*net.TCPListener
	server *Server
}

// Accept waits for the next connection. It returns [net.ErrClosed] once the server has stopped and none is
// left in the queue.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	c := &conn{
		TCPConn:  accepted,
		server:   l.server,
		accepted: time.Now(),
	}
	l.server.add(c)
	return c, nil
}

// stop lets Accept return an error after a moment.
func (l *listener) stop() {
	// An error means that the listener is closed already.
	_ = l.SetDeadline(time.Now().Add(acceptTime))
}
