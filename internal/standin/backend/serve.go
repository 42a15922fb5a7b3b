package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/header"
)

// fillerByte fills response bodies whose length [SizeParameter] sets.
const fillerByte = '.'

// defaultBody is the JSON body of a response without [SizeParameter].
type defaultBody struct {
	Server  string `json:"server"`
	Request string `json:"request"`
	// BodyHash is the SHA-256 of the request's body in hexadecimal.
	BodyHash string `json:"body-hash"`
}

// serveRequest handles one ordinary request under the simulated faults.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.trackConnection(r) {
		// net/http detects a closed connection only after the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if s.currentFaults().Crashed {
		panic(http.ErrAbortHandler)
	}
	entry := s.logRequest(r)
	if s.consumeDrop(DropBeforeBody) {
		panic(http.ErrAbortHandler)
	}
	if !s.readBody(r, entry) {
		panic(http.ErrAbortHandler)
	}
	if reason := s.acquireSlot(r.Context()); reason != "" {
		reject(w, r, reason)
		return
	}
	defer func() { <-s.slots }()
	s.execute(w, r, entry)
}

// trackConnection remembers the request's connection and reports whether
// requests on it get no response.
func (s *Server) trackConnection(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hangs := s.connectionHangs[r.RemoteAddr]
	s.connectionHangs[r.RemoteAddr] = hangs
	return hangs
}

func (s *Server) logRequest(r *http.Request) *LogEntry {
	entry := &LogEntry{
		RequestID: r.Header.Get(header.RequestID),
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    r.Header.Clone(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.logEntries) < maxLogEntries {
		s.logEntries = append(s.logEntries, entry)
	}
	return entry
}

// readBody reads the body and reports whether it arrived completely. It returns
// false also if the simulated faults drop the connection.
func (s *Server) readBody(r *http.Request, entry *LogEntry) bool {
	if s.consumeDrop(DropDuringBody) {
		_, _ = io.CopyN(io.Discard, r.Body, max(r.ContentLength/2, 1))
		return false
	}
	hash := sha256.New()
	length, err := io.Copy(hash, r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.BodyHash = hex.EncodeToString(hash.Sum(nil))
	entry.BodyLength = length
	entry.Trailer = r.Trailer.Clone()
	return err == nil
}

// acquireSlot takes a slot, or returns the reason why the request is rejected.
func (s *Server) acquireSlot(ctx context.Context) header.Reason {
	faults := s.currentFaults()
	if faults.Draining {
		return header.Draining
	}
	if faults.RejectAll {
		return header.Shed
	}
	if faults.RejectWhenFull {
		return s.tryAcquireSlot()
	}
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) tryAcquireSlot() header.Reason {
	select {
	case s.slots <- struct{}{}:
		return ""
	default:
		return header.Shed
	}
}

func reject(w http.ResponseWriter, r *http.Request, reason header.Reason) {
	w.Header().Set(header.NotRun, string(reason))
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	status := http.StatusServiceUnavailable
	if reason == header.Shed {
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
}

// execute runs the request and sends the response.
func (s *Server) execute(w http.ResponseWriter, r *http.Request, entry *LogEntry) {
	coldStartTime := s.beginRun(entry)
	defer s.endRun()
	if r.URL.Query().Has(CrashParameter) {
		s.crash()
	}
	sleep(r.Context(), s.serviceTime(r)+coldStartTime)
	if s.consumeDrop(DropBeforeResponse) {
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), time.Duration(s.currentFaults().ResponseDelay))
	s.respond(w, r, entry)
}

// beginRun counts the run and returns the extra time that a cold start adds.
func (s *Server) beginRun(entry *LogEntry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.Ran = true
	s.runCounts[entry.RequestID]++
	s.totalRuns++
	s.running++
	if s.totalRuns > s.ColdStart.Requests {
		return 0
	}
	return time.Duration(s.ColdStart.ExtraTime)
}

func (s *Server) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) serviceTime(r *http.Request) time.Duration {
	if requested, err := time.ParseDuration(r.URL.Query().Get(TimeParameter)); err == nil {
		return requested
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ServiceTime
}

// respond sends the response, altered by the simulated faults.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, entry *LogEntry) {
	current := response{
		requestID: entry.RequestID,
		body:      s.responseBody(r, entry),
	}
	s.mu.Lock()
	sent := current
	if s.faults.SendPreviousResponse && s.previousResponse.requestID != "" {
		sent = s.previousResponse
	}
	s.previousResponse = current
	closeAfter := s.faults.CloseAfterResponse
	s.mu.Unlock()

	w.Header().Set(header.RequestID, sent.requestID)
	w.Header().Set("Content-Length", strconv.Itoa(len(sent.body)))
	if s.consumeDrop(DropDuringResponse) {
		_, _ = w.Write(sent.body[:len(sent.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(sent.body)
	if closeAfter {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) responseBody(r *http.Request, entry *LogEntry) []byte {
	if size, err := strconv.Atoi(r.URL.Query().Get(SizeParameter)); err == nil && size >= 0 {
		return bytes.Repeat([]byte{fillerByte}, size)
	}
	body, err := json.Marshal(defaultBody{
		Server:   s.Name,
		Request:  entry.RequestID,
		BodyHash: entry.BodyHash,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

// clearRequestLog clears the log and its counts, so that a cold start applies
// again.
func (s *Server) clearRequestLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logEntries = nil
	clear(s.runCounts)
	s.totalRuns = 0
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
