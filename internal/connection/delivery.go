package connection

import (
	"net/http"
	"time"
)

const (
	// deliveryTimeout is how long a connection that the host closes stays open for a caller that does not
	// close it.
	deliveryTimeout = 10 * time.Second
	// maxAwaited is how many connections of a server stay open so at a time, since each takes memory and a
	// file descriptor.
	maxAwaited = 512
	// acknowledgementInterval is how often an idle connection that stays open so is checked for acknowledgements.
	acknowledgementInterval = 20 * time.Millisecond
	// discardBytes is how many bytes are discarded at once, and maxDiscarded how many on a connection at most, since
	// a caller may send bytes without end.
	discardBytes = 2 << 10
	maxDiscarded = 32 << 20
)

// isAnswerOnItsWay reports whether the caller may not have received all that was sent.
func (c *conn) isAnswerOnItsWay() bool {
	if c.sent.Load() == 0 {
		return false
	}
	// On an idle connection the caller has had time to read the last answer, and a request that arrives now is better
	// left unread.
	return c.isIn(http.StateActive) || c.unsentBytes() > 0
}

// awaitDelivery tells the caller that no more answers come, and discards what it still sends until it closes
// the connection too, which it does once it has read the last answer. It reports whether the answer has arrived in
// time.
//
// Closed without this, a connection is reset when a request arrives that the caller has sent behind the last
// one, or a part of a body that is not wanted, and the system drops what is still to be sent.
//
// Callers keep idle connections open, and would prolong a stop. So the wait for an idle one ends once the caller's system
// has acknowledged the answer: Linux delivers what it has acknowledged, also after a reset.
func (c *conn) awaitDelivery() bool {
	if c.server.awaited.Add(1) > maxAwaited {
		c.server.awaited.Add(-1)
		return false
	}
	defer c.server.awaited.Add(-1)
	if c.TCPConn.CloseWrite() != nil {
		return false
	}
	isIdle := c.isIn(http.StateIdle)
	deadline := time.Now().Add(deliveryTimeout)
	discarded := make([]byte, discardBytes)
	for total := 0; total < maxDiscarded; {
		if isIdle && c.unsentBytes() == 0 {
			return true
		}
		if time.Now().After(deadline) || !c.setDiscardDeadline(isIdle, deadline) {
			return false
		}
		n, err := c.TCPConn.Read(discarded)
		if err != nil && !isTimeout(err) {
			return true
		}
		total += n
	}
	return false
}

// setDiscardDeadline sets the time at which the next read ends: that of the next look at the acknowledgements of an idle
// connection, else the deadline. It returns false once the server is closed.
func (c *conn) setDiscardDeadline(isIdle bool, deadline time.Time) bool {
	if isIdle {
		deadline = time.Now().Add(acknowledgementInterval)
	}
	// An error means that the connection is closed, and ends the read.
	_ = c.TCPConn.SetReadDeadline(deadline)
	// Server.Close ends the reads of all connections after it has set isClosed.
	return !c.server.isClosed.Load()
}
