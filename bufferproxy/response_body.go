package bufferproxy

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Limits of the responses that are held in memory until they are complete.
const (
	// MaxResponseBytes is the size of the largest response body that is passed on, in
	// bytes.
	MaxResponseBytes = 8 << 20
	// freeResponseBytes is the part of each response body that does not count towards
	// maxLargeResponseBytes.
	freeResponseBytes = 128 << 10
	// maxLargeResponseBytes is how many bytes beyond their first freeResponseBytes all
	// responses together may take.
	maxLargeResponseBytes = 24 << 20
	// chunkSize is how many bytes of a response are read and counted at once.
	chunkSize = 32 << 10
)

// ResponseTooLargeError reports a response of a backend server that does not end within
// [MaxResponseBytes], or for which this host has no memory, since other large responses take
// it. It is dropped.
type ResponseTooLargeError struct {
	// Received is how many bytes of the body were read.
	Received int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response body was dropped after %d bytes, since it is too large", e.Received)
}

// responseMemory counts the bytes that large responses take in memory. The zero value is ready
// for use. It is safe for concurrent use.
type responseMemory struct{ large atomic.Int64 }

// responseBody is a complete body in pieces. Pieces take no more memory than the bytes in them,
// unlike a slice that grows.
type responseBody struct {
	chunks [][]byte
	size   int64
}

// writeTo writes the body.
func (b *responseBody) writeTo(w io.Writer) error {
	for _, chunk := range b.chunks {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// read reads a response body into memory, until its end or until it is too large. The caller
// must call release when the body is no longer needed, also after an error.
//
// A backend server may send bytes without end. Each such response takes memory until it is
// dropped, and many servers may do so at the same time, so all large ones share one limit;
// small ones are not affected.
func (m *responseMemory) read(body io.Reader, declaredLength int64) (content *responseBody, release func(), err error) {
	content = &responseBody{}
	counted := int64(0)
	release = func() { m.large.Add(-counted) }
	if declaredLength > MaxResponseBytes {
		return nil, release, &ResponseTooLargeError{}
	}
	for {
		chunk := make([]byte, nextChunkSize(content.size, declaredLength))
		n, err := io.ReadFull(body, chunk)
		content.chunks = append(content.chunks, chunk[:n])
		content.size += int64(n)
		if large := content.size - freeResponseBytes; large > counted {
			m.large.Add(large - counted)
			counted = large
		}
		switch {
		case err == io.EOF, err == io.ErrUnexpectedEOF:
			// Both mean that the body ended with io.EOF. The body of a response that
			// broke off ends with an error of another type.
			return content, release, nil
		case err != nil:
			return nil, release, err
		case content.size > MaxResponseBytes, counted > 0 && m.large.Load() > maxLargeResponseBytes:
			return nil, release, &ResponseTooLargeError{
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
