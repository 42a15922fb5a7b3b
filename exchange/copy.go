package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copySize is the size of the copying buffers, in bytes.
const copySize = 32 << 10

var copyBuffers = sync.Pool{
	New: func() any { return new([copySize]byte) },
}

// Copy passes the answer on to the caller. It does not close the answer.
//
// If the answer breaks, Copy panics with [http.ErrAbortHandler], so that the
// caller's connection breaks as well: an ordinary return would end the answer
// cleanly and pass a part of it off as the whole. [Response.Err] then tells
// the cause. A [CallerTransferError] says that the caller can't be written to.
func Copy(w http.ResponseWriter, answer *Response) error {
	copyHeader(w.Header(), answer)
	w.WriteHeader(answer.Status)
	if err := copyBody(w, answer); err != nil {
		return err
	}
	for name, values := range answer.Trailer() {
		w.Header()[name] = values
	}
	return nil
}

func copyHeader(h http.Header, answer *Response) {
	for name, values := range answer.Header {
		h[name] = values
	}
	for _, name := range answer.announced {
		h.Add("Trailer", name)
	}
}

func copyBody(w http.ResponseWriter, answer *Response) error {
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := answer.Read(buffer[:])
		if written := write(w, buffer[:n]); written != nil {
			return written
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if answer.Length < 0 {
			// An answer without a length may be a slow stream.
			flush(controller)
		}
	}
}

func write(w http.ResponseWriter, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := w.Write(p); err != nil {
		return &CallerTransferError{
			Cause: err,
		}
	}
	return nil
}

// flush sends what is buffered. A writer that can't flush sends it later, and
// one that is broken fails the next write.
func flush(controller *http.ResponseController) {
	if err := controller.Flush(); errors.Is(err, http.ErrNotSupported) {
		return
	}
}
