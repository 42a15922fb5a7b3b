package bufferproxy

import (
	"fmt"
	"io"
	"net/http"

	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/routing"
)

// Limits of the responses that are held in memory until they are complete.
const (
	// MaxResponseBytes is the size of the largest response body that is passed on, in
	// bytes.
	MaxResponseBytes = 8 << 20
	// chunkSize is how many bytes of a response are reserved and read at once.
	chunkSize = 32 << 10
)

// ResponseTooLargeError reports a response of a backend server that does not end within
// [MaxResponseBytes]. It is dropped.
type ResponseTooLargeError struct {
	// Received is how many bytes of the body were read.
	Received int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response body was dropped after %d bytes, since it is too large", e.Received)
}

// ResponseMemoryError reports a response of a backend server that was dropped because this host has no memory for it.
type ResponseMemoryError struct {
	// Received is how many bytes of the body were read.
	Received int64
	Cause    error
}

func (e *ResponseMemoryError) Error() string {
	return fmt.Sprintf("the response body was dropped after %d bytes: %v", e.Received, e.Cause)
}

func (e *ResponseMemoryError) Unwrap() error { return e.Cause }

// responseBody is a complete body in pieces. Pieces take no more memory than the bytes in them,
// unlike a slice that grows.
type responseBody struct {
	chunks [][]byte
	size   int64
}

// writeTo writes the body, and releases the memory of each piece that was written.
func (b *responseBody) writeTo(w io.Writer, memory *memorybudget.Holding) error {
	for i, chunk := range b.chunks {
		memory.Begin()
		n, err := w.Write(chunk)
		memory.End(n)
		if err != nil {
			return err
		}
		b.chunks[i] = nil
		memory.Release(int64(cap(chunk)))
	}
	return nil
}

// bytesPerHeader is what a header takes in memory besides its name and its value.
const bytesPerHeader = 64

// headBytes returns how many bytes the headers of a response take.
func headBytes(h http.Header) int64 {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + bytesPerHeader
		}
	}
	return int64(size)
}

// readResponseBody reads a response body into memory, until its end or until it is too large. The memory of the headers counts
// too. It releases the memory of the response to an earlier attempt.
//
// A backend server may send bytes without end. Each such response takes memory until it is
// dropped, and many servers may do so at the same time, so all responses share the memory budget, which
// keeps some for the starts of responses.
func (s *requestState) readResponseBody(body io.Reader, header http.Header, declaredLength int64) (*responseBody, error) {
	if s.answer != nil {
		s.answer.Close()
	}
	s.answer = s.handler.Memory.Open(memorybudget.Owner{
		Group:    s.memoryGroup(),
		Kind:     memorybudget.Response,
		Priority: routing.EffectivePriority(s.route, s.team),
		Expected: declaredLength + 1,
		OnEvict:  s.interruptResponse,
	})
	if declaredLength > MaxResponseBytes {
		return nil, &ResponseTooLargeError{}
	}
	content := &responseBody{}
	// The head is reserved with the first piece of the body, and released with the response.
	head := headBytes(header)
	for {
		size := nextChunkSize(content.size, declaredLength)
		err := s.answer.Reserve(s.ctx, size+head)
		head = 0
		if err != nil {
			s.handler.recordMemoryRefusal("response", err)
			return nil, &ResponseMemoryError{
				Received: content.size,
				Cause:    err,
			}
		}
		chunk := make([]byte, size)
		n, err := io.ReadFull(body, chunk)
		content.chunks = append(content.chunks, chunk[:n])
		content.size += int64(n)
		switch {
		case err == io.EOF, err == io.ErrUnexpectedEOF:
			// Both mean that the body ended with io.EOF. The body of a response that
			// broke off ends with an error of another type.
			return content, nil
		case err != nil:
			return nil, err
		case content.size > MaxResponseBytes:
			return nil, &ResponseTooLargeError{
				Received: content.size,
			}
		}
	}
}

// minChunkSize is the size of the first piece of a body whose length is not declared.
const minChunkSize = 4 << 10

// nextChunkSize returns the size of the next piece of a body. A piece for a declared length is
// one byte longer than the rest, so that the same read finds the end.
func nextChunkSize(received, declaredLength int64) int64 {
	if rest := declaredLength - received; rest > 0 {
		return min(rest+1, chunkSize)
	}
	return min(max(received, minChunkSize), chunkSize)
}
