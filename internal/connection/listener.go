package connection

import (
	"net"
	"time"

	"trefoilline.example/trefoilline/observe"
)

// Listener accepts connections and keeps what happens on them. Both fields must be set before the first call.
type Listener struct {
	*net.TCPListener
	Log observe.Log
}

// Accept waits for the next connection. It returns the error of the listener if that fails or is closed.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &conn{
		TCPConn:  accepted,
		log:      l.Log,
		accepted: time.Now(),
	}, nil
}
