package bufferproxy

import (
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoilline.example/trefoilline/memorybudget"
)

// transfers ends the transfers between this host and the caller of a request that loses its memory. Its lock keeps a late
// eviction from the next request on the same connection.
type transfers struct {
	mu     sync.Mutex
	isOver bool
	// isWriting is true while a response is written to the caller.
	isWriting bool
	// isWriteEnded is true once writes fail because of an eviction.
	isWriteEnded bool
}

// interruptUpload ends the reading of a body that was evicted, and the attempt to send it.
func (s *requestState) interruptUpload(reason memorybudget.Reason) {
	s.handler.recordEviction(reason)
	// The attempt ends first, so that the read that fails is not taken for a fault of the backend server.
	s.cancel()
	s.endReading()
}

// endReading ends the reading of the body, now and later.
func (s *requestState) endReading() {
	s.transfers.mu.Lock()
	defer s.transfers.mu.Unlock()
	if s.transfers.isOver {
		return
	}
	// A writer without deadlines leaves the request as it is.
	_ = http.NewResponseController(s.w).SetReadDeadline(pastDeadline)
}

// interruptResponse ends the writing of a response that was evicted. One that is still being read gets an error in place
// of memory.
func (s *requestState) interruptResponse(reason memorybudget.Reason) {
	s.handler.recordEviction(reason)
	s.transfers.mu.Lock()
	defer s.transfers.mu.Unlock()
	if s.transfers.isOver || !s.transfers.isWriting {
		return
	}
	s.transfers.isWriteEnded = http.NewResponseController(s.w).SetWriteDeadline(pastDeadline) == nil
}

// writeBody writes the body of a response to the caller, and releases its memory on the way.
func (s *requestState) writeBody(body *responseBody) error {
	s.setWriting(true)
	err := body.writeTo(s.w, s.answer)
	s.setWriting(false)
	return err
}

// setWriting states whether a response is being written. If it was written although it was evicted, the
// connection can be used on.
func (s *requestState) setWriting(isWriting bool) {
	s.transfers.mu.Lock()
	defer s.transfers.mu.Unlock()
	s.transfers.isWriting = isWriting
	if !isWriting && s.transfers.isWriteEnded {
		s.transfers.isWriteEnded = false
		// If a write has failed, the connection is closed in any case.
		_ = http.NewResponseController(s.w).SetWriteDeadline(time.Time{})
	}
}

// abandonBody lets the connection end with the response, since the rest of the request's body is not read. Otherwise the HTTP
// server would wait for it, before the response or after it.
func (s *requestState) abandonBody() {
	s.w.Header().Set("Connection", "close")
	s.endReading()
}

// isBodyUnread reports whether a part of a body that was to be sent on while it arrives was not read.
func (s *requestState) isBodyUnread() bool { return s.stream != nil && !s.stream.isAtEnd.Load() }

// uploadError returns a [MemoryError] if the body was evicted while it was sent on.
func (s *requestState) uploadError() error {
	if s.upload == nil || s.upload.Err() == nil {
		return nil
	}
	return &MemoryError{
		Cause: s.upload.Err(),
	}
}

// releaseBody releases the memory of the body, which is not sent again. One that is still being read stays, so
// that its memory counts.
func (s *requestState) releaseBody() {
	if s.upload != nil && !s.upload.IsTransferring() {
		s.serverRequest.Body = nil
		s.upload.Close()
	}
}

// endTransfers releases the memory of the request.
func (s *requestState) endTransfers() {
	s.transfers.mu.Lock()
	s.transfers.isOver = true
	s.transfers.mu.Unlock()
	if s.upload != nil {
		s.upload.Close()
	}
	if s.answer != nil {
		s.answer.Close()
	}
}

// memoryGroup returns the group of the request in the memory budget. Requests of other hosts are grouped by those hosts.
func (s *requestState) memoryGroup() memorybudget.Group {
	// An address that can't be parsed is one of a test; such requests form one group.
	address, _ := netip.ParseAddrPort(s.callerRequest.RemoteAddr)
	return memorybudget.NewGroup(address.Addr(), s.teamName())
}

// isStalled reports whether the error is that of a sender that stalled.
func isStalled(err error) bool {
	var evicted *memorybudget.EvictedError
	return errors.As(err, &evicted) && (evicted.Reason == memorybudget.Stalled || evicted.Reason == memorybudget.SlotNeeded)
}
