package observe

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxBufferedLines is how many lines are buffered while the output is slow.
const maxBufferedLines = 4096

// closeTimeout is how long Close waits for the buffered lines to be written.
const closeTimeout = 500 * time.Millisecond

// AsyncWriter is a writer of log lines that never blocks: a goroutine writes the
// buffered lines to the output. Lines that arrive while the buffer is full are dropped
// and counted, and the count is logged as [LogLinesDropped] after the next line that is
// written.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// mu guards closed, so that no line is added after the channel is closed.
	mu     sync.RWMutex
	closed bool
	done   chan struct{}
}

// NewAsyncWriter returns a writer to the output. The caller must close it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out:   out,
		lines: make(chan []byte, maxBufferedLines),
		done:  make(chan struct{}),
	}
	go w.writeLines()
	return w
}

// Write buffers a line. It never fails: a line that does not fit, or that comes
// after Close, is dropped and counted.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	bufferedLine := append([]byte(nil), line...)
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bufferedLine:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; loggers require it. Close waits for the buffered lines.
func (w *AsyncWriter) Sync() error { return nil }

// Dropped returns how many lines were dropped and not yet logged as
// [LogLinesDropped].
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// Close stops accepting lines and waits until the buffered ones are written, or until
// the close timeout is over.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *AsyncWriter) writeLines() {
	defer close(w.done)
	for line := range w.lines {
		// An error of the log output cannot be logged.
		_, _ = w.out.Write(line)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = w.out.Write(droppedLinesEvent(dropped))
		}
	}
}

// droppedLinesEvent returns the log line of [LogLinesDropped] in the format of the
// JSON logger.
func droppedLinesEvent(count uint64) []byte {
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
