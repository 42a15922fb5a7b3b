package connection

import "time"

// Limits bound the connections of a server, and what callers send before and in a header. A limit that is zero is not
// checked.
type Limits struct {
	// MaxConnections is how many connections are open at a time. At the limit, others are closed for a new one, see
	// [Server.Limits].
	MaxConnections int
	// MaxHeaderBytes is how many bytes may arrive until the end of a header, with empty lines before it, and with what is
	// read at once with its end.
	MaxHeaderBytes int
	// HeaderTimeout is the time from the opening of a connection, or from the first byte after an answer, until the end of
	// the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout time.Duration
}

// reason is why a connection was closed because of [Limits]. Those of connections that were closed for others are their
// phases.
type reason int

const (
	// refused is the reason of connections for which no other one could be closed.
	refused = reason(Serving) + iota
	headerTooLong
	headerTooSlow
	reasonCount
)

// reasonNames are the names of the reasons in metrics and in the log.
var reasonNames = [reasonCount]string{
	Closing:       "closing",
	Idle:          "idle",
	InHeader:      "header",
	InBody:        "body",
	refused:       "refused",
	headerTooLong: "header-bytes",
	headerTooSlow: "header-time",
}
