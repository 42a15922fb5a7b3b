package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// Body is the body of a request: [*Stream] or [*Bytes]. Nil means no body.
type Body interface{ body() }

// Stream is a body that can be sent only once.
type Stream struct {
	Reader io.Reader
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// Trailer has the names of the trailers from the start, and their values
	// once Reader has returned [io.EOF].
	Trailer http.Header
	// Prefix is the start of the content, if it is known before the content is
	// sent. Package crashdetect identifies requests with large bodies by it.
	Prefix []byte

	mu       sync.Mutex
	consumed bool
}

// Bytes is a body in memory, which can be sent any number of times.
type Bytes struct {
	Content []byte
	// More holds the pieces that follow Content if the body is not in one piece.
	More    [][]byte
	Trailer http.Header
}

// Length returns the length of the body in bytes.
func (b *Bytes) Length() int64 {
	length := int64(len(b.Content))
	for _, piece := range b.More {
		length += int64(len(piece))
	}
	return length
}

// newReader returns a reader of the whole body.
func (b *Bytes) newReader() io.Reader {
	if len(b.More) == 0 {
		return bytes.NewReader(b.Content)
	}
	readers := []io.Reader{
		bytes.NewReader(b.Content),
	}
	for _, piece := range b.More {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

func (*Stream) body() {}
func (*Bytes) body()  {}

// BufferBody reads the stream into memory and returns [*Bytes] if it has at most limit
// bytes. Otherwise it returns a [*Stream] with the same content, whose Prefix is
// the part that was read. It returns a [CallerTransferError] if reading
// fails, also if the reader itself limits the size of the body.
func BufferBody(s *Stream, limit int) (Body, error) {
	prefix, err := io.ReadAll(io.LimitReader(s.Reader, int64(limit)+1))
	if err != nil {
		return nil, &CallerTransferError{
			Cause: err,
		}
	}
	if len(prefix) <= limit {
		return &Bytes{
			Content: prefix,
			Trailer: s.Trailer,
		}, nil
	}
	return &Stream{
		Reader:  io.MultiReader(bytes.NewReader(prefix), s.Reader),
		Length:  s.Length,
		Trailer: s.Trailer,
		Prefix:  prefix,
	}, nil
}

// isConsumed reports whether an attempt has read from the stream.
func (s *Stream) isConsumed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed
}

// Read reads from the stream and marks it as consumed.
func (s *Stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	s.consumed = true
	s.mu.Unlock()
	return s.Reader.Read(p)
}

// attemptBody is the request body of one attempt. The transport may go on reading
// after the attempt has ended; reads then fail with an [AttemptEndedError].
type attemptBody struct {
	reader io.Reader
	// responseTimer is paused while a read waits for the caller.
	responseTimer *pausableTimer
	stopped       atomic.Bool
	// onEOF is called once, at the end of the body.
	onEOF func()
}

// Read reads from the body until stop is called.
func (b *attemptBody) Read(p []byte) (int, error) {
	if b.stopped.Load() {
		return 0, &AttemptEndedError{}
	}
	b.responseTimer.pause()
	n, err := b.reader.Read(p)
	b.responseTimer.restart()
	if err == io.EOF && b.onEOF != nil {
		b.onEOF()
		b.onEOF = nil
	}
	return n, err
}

// Close does nothing: the HTTP server that received the request closes the body.
func (*attemptBody) Close() error { return nil }

// stop makes all further reads fail. It does not interrupt a read that waits for
// the caller; that read ends when the caller's connection closes.
func (b *attemptBody) stop() { b.stopped.Store(true) }
