package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in of a backend server. It runs up to slots requests at once and queues a few
// more, drops a request whose connection closes, and turns requests away that are meant for another
// server or for which it has no room.
type Server struct {
	id       string
	service  string
	zone     string
	slots    int
	workTime time.Duration
	// body is what the server answers after its own id.
	body     string
	record   *Record
	born     int64
	address  string
	slot     chan struct{}
	mu       sync.Mutex
	held     int
	running  int
	sequence int
	// onRun, if it is set, is told of the begin ("run"), the end ("ran") and the break ("dropped") of
	// each run.
	onRun func(id, what string)
}

func startServer(record *Record, id, service, zone string, slots int, workTime time.Duration) *Server {
	s := &Server{
		id:       id,
		service:  service,
		zone:     zone,
		slots:    slots,
		workTime: workTime,
		record:   record,
		born:     time.Now().UnixMilli(),
		slot:     make(chan struct{}, slots),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s
}

// heartbeats writes the server's entry into the store until the process ends.
func (s *Server) heartbeats(store *Store) {
	for {
		s.sequence = 1 // An entry changes only when more than its sequence changes.
		store.Put("servers", s.id, map[string]any{
			"Address": s.address,
			"Info":    map[string]any{"Service": s.service, "Version": "v1", "Zone": s.zone, "Slots": s.slots},
			"Status":  map[string]any{"State": "ready", "Sequence": s.sequence, "ColdLeftS": 0},
			"born":    s.born,
		})
		time.Sleep(1500 * time.Millisecond)
	}
}

// count changes how many requests the server holds and runs, and returns its load: those that run and
// those that wait, and its slots.
func (s *Server) count(held, running int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += held
	s.running += running
	return fmt.Sprintf("%d,%d,%d", s.running, s.held-s.running, s.slots)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Server-Load", s.count(0, 0))
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	load := s.count(1, 0)
	defer func() { s.count(-1, 0) }()
	if s.waitingNow() > 3*s.slots {
		w.Header().Set("X-Server-Load", load)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slot }()
	s.count(0, 1)
	defer func() { s.count(0, -1) }()
	s.tell("run", id)
	select {
	case <-time.After(s.workTime):
	case <-r.Context().Done():
		s.tell("dropped", id)
		return
	}
	answer := fmt.Sprintf("%s ran %s with %d bytes %s", s.id, id, len(body), s.body)
	w.Header().Set("X-Server-Load", s.count(0, 0))
	w.Header().Set("X-Response-Seal", fmt.Sprintf("%x.%s", len(answer), id))
	_, _ = io.WriteString(w, answer)
	s.tell("ran", id)
}

func (s *Server) waitingNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held - s.running
}

func (s *Server) tell(what, id string) {
	s.record.Add(what, id, s.id)
	if s.onRun != nil {
		s.onRun(id, what)
	}
}
