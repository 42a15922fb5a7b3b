package observe

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// spoolLines is how many lines wait for an output that does not take them.
const spoolLines = 4096

// flushTime bounds how long the end of a spool waits for its output.
const flushTime = 500 * time.Millisecond

// AsyncWriter is an output for log lines that never blocks its writer: lines wait for the
// output, and those for which there is no room are dropped and counted. The count is
// written as [LogLinesDropped] once there is room.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// mu lets no line come after the end.
	mu    sync.RWMutex
	ended bool
	done  chan struct{}
}

// NewAsyncWriter returns a spool before an output, to be closed at the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	s := &AsyncWriter{
		out:   out,
		lines: make(chan []byte, spoolLines),
		done:  make(chan struct{}),
	}
	go s.run()
	return s
}

// Write takes a line. It never fails: what can't be kept is counted.
func (s *AsyncWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.ended {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync is there for loggers; lines are on their way once they are written.
func (s *AsyncWriter) Sync() error { return nil }

// Dropped returns how many lines were dropped and not told of yet.
func (s *AsyncWriter) Dropped() uint64 { return s.dropped.Load() }

// Close writes what waits, as long as the output takes it.
func (s *AsyncWriter) Close() {
	s.mu.Lock()
	if !s.ended {
		s.ended = true
		close(s.lines)
	}
	s.mu.Unlock()
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *AsyncWriter) run() {
	defer close(s.done)
	for line := range s.lines {
		// There is nowhere to tell of an output that fails.
		_, _ = s.out.Write(line)
		if dropped := s.dropped.Swap(0); dropped > 0 {
			_, _ = s.out.Write(droppedLine(dropped))
		}
	}
}

// droppedLine is the event in the form of the log's other lines.
func droppedLine(count uint64) []byte {
	line, err := json.Marshal(map[string]any{
		"level": LogLinesDropped.Level.String(),
		"ts":    time.Now().Format(time.RFC3339Nano),
		"msg":   LogLinesDropped.Name,
		"event": LogLinesDropped.Number,
		"count": count,
	})
	if err != nil {
		return []byte(err.Error() + "\n")
	}
	return append(line, '\n')
}
