package connection

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Who may decide about a connection with a request.
const (
	// unclaimed connections may be closed for others.
	unclaimed int32 = iota
	// kept connections have a request that may be sent to a backend server.
	kept
	// evicted connections were closed for others.
	evicted
)

// usage is what a server with limits knows of a connection.
type usage struct {
	caller netip.Addr
	claim  atomic.Int32
	// inBody is true while the body of a request is read.
	inBody atomic.Bool
	// isTooLong is true once a header was too long.
	isTooLong atomic.Bool
	// headerStart is conn.received when the last answer was complete. What a caller sends of a body that was not read
	// counts before it.
	headerStart atomic.Int64

	// The fields below are guarded by Server.mu. phase, received and progressAt are those of the last check, see
	// conn.update.
	phase      Phase
	received   int64
	progressAt time.Time
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Keep protects the connection of a request from being closed for others until it is answered. It returns false if it was
// closed already, so that the request must not run. It returns true for requests of other servers.
func Keep(r *http.Request) bool {
	c, isOwn := r.Context().Value(connKey{}).(*conn)
	return !isOwn || c.usage.claim.CompareAndSwap(unclaimed, kept) || c.usage.claim.Load() == kept
}

// withBody lets the connection know while the request's body is read.
func withBody(r *http.Request) {
	c, isOwn := r.Context().Value(connKey{}).(*conn)
	if !isOwn || r.Body == nil || r.Body == http.NoBody {
		return
	}
	c.usage.inBody.Store(true)
	r.Body = &trackedBody{
		ReadCloser: r.Body,
		usage:      &c.usage,
	}
}

// trackedBody is the body of a request that a connection waits for.
type trackedBody struct {
	io.ReadCloser
	usage *usage
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.usage.inBody.Store(false)
	}
	return n, err
}

// release lets the connection be closed for others after an answer.
func (c *conn) release() {
	c.usage.claim.CompareAndSwap(kept, unclaimed)
	c.usage.inBody.Store(false)
}

// becomeIdle notes that an answer is complete. The server's lock must be held.
func (c *conn) becomeIdle() {
	c.release()
	c.usage.headerStart.Store(c.received.Load())
	// The next check may find the connection idle again after another request.
	c.usage.phase, c.usage.progressAt = Idle, time.Now()
}

// currentPhase returns the phase of the connection.
func (c *conn) currentPhase() Phase {
	switch state := http.ConnState(c.state.Load()); {
	case c.usage.claim.Load() != unclaimed:
		return Serving
	case c.closed.Load():
		return Closing
	case state == http.StateIdle && c.received.Load() == c.usage.headerStart.Load():
		return Idle
	case state == http.StateIdle || state == http.StateNew:
		return InHeader
	case c.usage.inBody.Load():
		return InBody
	}
	return Serving
}

// update notes the phase and the progress of the connection since the last check. Checks come at intervals instead of
// with each read, whose cost they would add to. The server's lock must be held.
func (c *conn) update(now time.Time) {
	p, received := c.currentPhase(), c.received.Load()
	if p != c.usage.phase || p == InBody && received != c.usage.received {
		c.usage.progressAt = now
	}
	c.usage.phase, c.usage.received = p, received
}

// evict closes the connection at once, unless its request may run. It reports whether it did. The server's lock must not
// be held.
func (c *conn) evict() bool {
	if !c.usage.claim.CompareAndSwap(unclaimed, evicted) {
		return false
	}
	c.closed.Store(true)
	// An error means that the connection is closed.
	_ = c.TCPConn.Close()
	c.server.remove(c)
	return true
}

const headerTooLongAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
	"431 Request Header Fields Too Large"

// HeaderTooLongError reports a header with more bytes than [Limits] allow.
type HeaderTooLongError struct{}

func (*HeaderTooLongError) Error() string { return "the header is too long" }

// rejectHeader answers a header that is too long, and returns an error that ends the reading of the connection, to which
// the HTTP server adds no answer of its own.
func (c *conn) rejectHeader() error {
	if !c.usage.isTooLong.Swap(true) {
		c.server.count(headerTooLong, c.usage.caller)
		// An error means that the connection is closed.
		_, _ = c.Write([]byte(headerTooLongAnswer))
	}
	return &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: &HeaderTooLongError{},
	}
}

// isHeaderTooLong reports whether more bytes were received than a header may have, while one is read.
func (c *conn) isHeaderTooLong(received int64) bool {
	limit := c.server.headerBytes.Load()
	return limit > 0 && received-c.usage.headerStart.Load() > limit && !c.isIn(http.StateActive) && !c.closed.Load()
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
