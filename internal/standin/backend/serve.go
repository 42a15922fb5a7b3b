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

// fillerByte fills answers of a stated size.
const fillerByte = '.'

// reply is the body of an ordinary answer.
type reply struct {
	Server  string `json:"server"`
	Request string `json:"request"`
	// BodyHash is the SHA-256 of the request's body in hexadecimal.
	BodyHash string `json:"body-hash"`
}

// serve runs one request, with the faults that are set.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.lost(r) {
		// The server notices a closed connection only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if s.current().Crashed {
		panic(http.ErrAbortHandler)
	}
	entry := s.see(r)
	if s.takeDrop(DropBeforeBody) {
		panic(http.ErrAbortHandler)
	}
	if !s.readBody(r, entry) {
		panic(http.ErrAbortHandler)
	}
	if reason := s.refusal(r.Context()); reason != "" {
		refuse(w, r, reason)
		return
	}
	defer func() { <-s.slots }()
	s.run(w, r, entry)
}

// lost notes the connection and reports whether it is silent.
func (s *Server) lost(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent := s.open[r.RemoteAddr]
	s.open[r.RemoteAddr] = silent
	return silent
}

func (s *Server) see(r *http.Request) *LogEntry {
	entry := &LogEntry{
		RequestID: r.Header.Get(header.RequestID),
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    r.Header.Clone(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.entries) < entryLimit {
		s.entries = append(s.entries, entry)
	}
	return entry
}

// readBody reads the whole body and reports whether it came whole.
func (s *Server) readBody(r *http.Request, entry *LogEntry) bool {
	if s.takeDrop(DropDuringBody) {
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

// refusal takes a slot, or returns why the request is refused.
func (s *Server) refusal(ctx context.Context) header.Reason {
	faults := s.current()
	if faults.Draining {
		return header.Draining
	}
	if faults.RejectAll {
		return header.Shed
	}
	if faults.RejectWhenFull {
		return s.takeFreeSlot()
	}
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) takeFreeSlot() header.Reason {
	select {
	case s.slots <- struct{}{}:
		return ""
	default:
		return header.Shed
	}
}

func refuse(w http.ResponseWriter, r *http.Request, reason header.Reason) {
	w.Header().Set(header.NotRun, string(reason))
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	status := http.StatusServiceUnavailable
	if reason == header.Shed {
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
}

// run lets the request take effect and answers it.
func (s *Server) run(w http.ResponseWriter, r *http.Request, entry *LogEntry) {
	cold := s.begin(entry)
	defer s.end()
	if r.URL.Query().Has(CrashParameter) {
		s.crash()
	}
	wait(r.Context(), s.duration(r)+cold)
	if s.takeDrop(DropBeforeResponse) {
		panic(http.ErrAbortHandler)
	}
	wait(r.Context(), time.Duration(s.current().ResponseDelay))
	s.answer(w, r, entry)
}

// begin counts the run and returns what a cold start adds to it.
func (s *Server) begin(entry *LogEntry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.Ran = true
	s.runs[entry.RequestID]++
	s.ran++
	s.running++
	if s.ran > s.ColdStart.Requests {
		return 0
	}
	return time.Duration(s.ColdStart.ExtraTime)
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) duration(r *http.Request) time.Duration {
	if stated, err := time.ParseDuration(r.URL.Query().Get(TimeParameter)); err == nil {
		return stated
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ServiceTime
}

// answer sends the answer, whole or as the faults have it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, entry *LogEntry) {
	own := answer{
		name: entry.RequestID,
		body: s.body(r, entry),
	}
	s.mu.Lock()
	sent := own
	if s.faults.SendPreviousResponse && s.previous.name != "" {
		sent = s.previous
	}
	s.previous = own
	closeIdle := s.faults.CloseAfterResponse
	s.mu.Unlock()

	w.Header().Set(header.RequestID, sent.name)
	w.Header().Set("Content-Length", strconv.Itoa(len(sent.body)))
	if s.takeDrop(DropDuringResponse) {
		_, _ = w.Write(sent.body[:len(sent.body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(sent.body)
	if closeIdle {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) body(r *http.Request, entry *LogEntry) []byte {
	if size, err := strconv.Atoi(r.URL.Query().Get(SizeParameter)); err == nil && size >= 0 {
		return bytes.Repeat([]byte{fillerByte}, size)
	}
	body, err := json.Marshal(reply{
		Server:   s.Name,
		Request:  entry.RequestID,
		BodyHash: entry.BodyHash,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

func (s *Server) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = nil
	clear(s.runs)
	s.ran = 0
}

// wait sleeps for the span, less if the request is cancelled.
func wait(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
