package bufferproxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/routing"
)

// pastDeadline is a deadline that ends a read or write at once.
var pastDeadline = time.Unix(1, 0)

const (
	// bodyStep is how many bytes of a body are reserved and read at once.
	bodyStep = 16 << 10
	// firstBodyStep is the first step if the length of the body is not declared. Most such bodies are short.
	firstBodyStep = 4 << 10
	// prefixBytes is the size of the start of a streamed body by which package crashdetect identifies the request.
	prefixBytes = 16 << 10
	// streamWindow is what a streamed body holds: its start, and the buffers between the connections.
	streamWindow = 64 << 10
)

// readBody reads the body of the request into memory, unless it is too long; then it returns a body that is read when it
// is sent. It returns a [DrainingError] if the read was ended since this host stops, and a [MemoryError] if there is no
// memory for the body.
func (s *requestState) readBody(stream *exchange.Stream) (exchange.Body, error) {
	s.handler.uploads.Store(s, http.NewResponseController(s.w))
	if s.handler.isDraining() && s.ctx.Err() != nil {
		// EndRequests may have come before the request could be seen there.
		s.handler.uploads.Delete(s)
		return nil, &DrainingError{}
	}
	s.upload = s.handler.Memory.Open(memorybudget.Owner{
		Group:    s.memoryGroup(),
		Kind:     memorybudget.Upload,
		Priority: routing.EffectivePriority(s.route, s.team),
		Expected: expectedMemory(stream.Length),
		OnEvict:  s.interruptUpload,
	})
	body, err := s.holdBody(stream)
	_, isOwn := s.handler.uploads.LoadAndDelete(s)
	if !isOwn && err != nil {
		return nil, &DrainingError{}
	}
	if evicted := s.upload.Err(); evicted != nil {
		err = evicted
	}
	if err == nil {
		return body, nil
	}
	return nil, s.bodyError(err)
}

// bodyError returns the error of a request whose body was not read.
func (s *requestState) bodyError(err error) error {
	var caller *exchange.CallerTransferError
	if errors.As(err, &caller) {
		return &BodyError{
			Cause: err,
		}
	}
	s.handler.recordMemoryRefusal("upload", err)
	return &MemoryError{
		Cause: err,
	}
}

// expectedMemory returns how much memory a body of the length takes, negative if the length is not known.
func expectedMemory(length int64) int64 {
	if length > MaxBufferedBodyBytes {
		return streamWindow
	}
	return length
}

// holdBody reads the body in steps, each of which is reserved before.
func (s *requestState) holdBody(stream *exchange.Stream) (exchange.Body, error) {
	if stream.Length > MaxBufferedBodyBytes {
		return s.holdStart(stream)
	}
	var pieces [][]byte
	for size := int64(0); ; {
		piece, err := s.readPiece(stream.Reader, nextBodyStep(size, stream.Length))
		if err != nil && err != io.EOF {
			return nil, err
		}
		pieces = append(pieces, piece)
		size += int64(len(piece))
		switch {
		case size > MaxBufferedBodyBytes:
			return s.streamRest(stream, pieces), nil
		case err == io.EOF && size < stream.Length:
			return nil, &exchange.CallerTransferError{
				Cause: io.ErrUnexpectedEOF,
			}
		case err == io.EOF, size == stream.Length:
			return &exchange.Bytes{
				Content: pieces[0],
				More:    pieces[1:],
				Trailer: stream.Trailer,
			}, nil
		}
	}
}

// holdStart reads the start of a body that is too long to be kept.
func (s *requestState) holdStart(stream *exchange.Stream) (exchange.Body, error) {
	if err := s.upload.Reserve(s.ctx, streamWindow-prefixBytes); err != nil {
		return nil, err
	}
	prefix, err := s.readPiece(stream.Reader, prefixBytes)
	if err != nil && err != io.EOF {
		return nil, err
	}
	return s.streamRest(stream, [][]byte{prefix}), nil
}

// streamRest returns a body that begins with the pieces, whose rest is read when it is sent.
func (s *requestState) streamRest(stream *exchange.Stream, pieces [][]byte) exchange.Body {
	var prefix []byte
	for _, piece := range pieces {
		prefix = append(prefix, piece[:min(len(piece), prefixBytes-len(prefix))]...)
	}
	s.stream = &streamReader{
		pieces: pieces,
		rest:   stream.Reader,
		upload: s.upload,
	}
	return &exchange.Stream{
		Reader:  s.stream,
		Length:  stream.Length,
		Trailer: stream.Trailer,
		Prefix:  prefix,
	}
}

// nextBodyStep returns the size of the next piece of a body. The pieces that are read first make up the prefix.
func nextBodyStep(received, length int64) int64 {
	switch {
	case length >= 0:
		return min(length-received, bodyStep)
	case received == 0:
		return firstBodyStep
	case received < prefixBytes:
		return prefixBytes - received
	}
	return bodyStep
}

// readPiece reserves and reads up to n bytes. It returns [io.EOF] with the piece at the end of the body.
func (s *requestState) readPiece(reader io.Reader, n int64) ([]byte, error) {
	if err := s.upload.Reserve(s.ctx, n); err != nil {
		return nil, err
	}
	piece := make([]byte, n)
	read := 0
	for read < len(piece) {
		s.upload.Begin()
		more, err := reader.Read(piece[read:])
		s.upload.End(more)
		read += more
		if err == io.EOF {
			return piece[:read], io.EOF
		}
		if err != nil {
			return nil, &exchange.CallerTransferError{
				Cause: err,
			}
		}
	}
	return piece, nil
}

// streamReader reads a body of which a part has been read before.
type streamReader struct {
	pieces [][]byte
	rest   io.Reader
	upload *memorybudget.Holding
	// isAtEnd is true once the whole body was read.
	isAtEnd atomic.Bool
}

// Read reads from the pieces, and then from the caller.
func (r *streamReader) Read(p []byte) (int, error) {
	if len(r.pieces) == 0 {
		r.upload.Begin()
		n, err := r.rest.Read(p)
		r.upload.End(n)
		if err == io.EOF {
			r.isAtEnd.Store(true)
		}
		return n, err
	}
	n := copy(p, r.pieces[0])
	r.pieces[0] = r.pieces[0][n:]
	if len(r.pieces[0]) == 0 {
		r.pieces[0] = nil
		r.pieces = r.pieces[1:]
		if excess := r.upload.Used() - streamWindow; excess > 0 {
			r.upload.Release(min(excess, bodyStep))
		}
	}
	return n, nil
}

// rejectUploads rejects the requests whose body is not in yet and that must not end after the given time, since they
// could not be served anyway.
func (h *Handler) rejectUploads(end time.Time) {
	h.uploads.Range(func(state, controller any) bool {
		s := state.(*requestState)
		if !s.deadline.After(end) {
			return true
		}
		if _, isReading := h.uploads.LoadAndDelete(s); isReading {
			// A writer without deadlines leaves the request as it is.
			_ = controller.(*http.ResponseController).SetReadDeadline(pastDeadline)
		}
		return true
	})
}
