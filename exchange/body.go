package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// Body is a request's body: [*Stream] or [*Bytes]. Nil is no body.
type Body interface{ body() }

// Stream is a body that can be read once.
type Stream struct {
	Reader io.Reader
	// Length is in bytes, negative if it is not known.
	Length int64
	// Trailer holds the trailers once Reader is at its end; its names are known
	// before.
	Trailer http.Header
	// Prefix is how the content starts, if that is known before it is read.
	Prefix []byte

	mu   sync.Mutex
	read bool
}

// Bytes is a body that can be sent any number of times.
type Bytes struct {
	Content []byte
	Trailer http.Header
}

func (*Stream) body() {}
func (*Bytes) body()  {}

// BufferBody reads a stream into memory if it ends within limit bytes, so that it
// can be sent again; otherwise it returns a stream of the same content.
func BufferBody(s *Stream, limit int) (Body, error) {
	head, err := io.ReadAll(io.LimitReader(s.Reader, int64(limit)+1))
	if err != nil {
		return nil, &CallerTransferError{
			Cause: err,
		}
	}
	if len(head) <= limit {
		return &Bytes{
			Content: head,
			Trailer: s.Trailer,
		}, nil
	}
	return &Stream{
		Reader:  io.MultiReader(bytes.NewReader(head), s.Reader),
		Length:  s.Length,
		Trailer: s.Trailer,
		Prefix:  head,
	}, nil
}

// spent tells whether a try has read from the stream.
func (s *Stream) spent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

// Read reads from the stream, which is spent from then on.
func (s *Stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	s.read = true
	s.mu.Unlock()
	return s.Reader.Read(p)
}

// source is the body of one try. The transport may read on after the try is
// over; from then on source yields nothing.
type source struct {
	reader io.Reader
	// beginning holds while the caller sends the body.
	beginning *watchdog
	ended     atomic.Bool
	// finish runs once, at the end of the body.
	finish func()
}

// Read reads from the body until the try is over.
func (s *source) Read(p []byte) (int, error) {
	if s.ended.Load() {
		return 0, &AttemptEndedError{}
	}
	s.beginning.pause()
	n, err := s.reader.Read(p)
	s.beginning.run()
	if err == io.EOF && s.finish != nil {
		s.finish()
		s.finish = nil
	}
	return n, err
}

// Close does nothing: the caller's own server closes the body.
func (*source) Close() error { return nil }

// end stops all further reading. A read that waits for the caller ends with the
// caller's connection.
func (s *source) end() { s.ended.Store(true) }
