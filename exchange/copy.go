package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// copyBufferSize is the size of the buffers of copyBody, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{
	New: func() any { return new([copyBufferSize]byte) },
}

// Copy forwards the response to the caller. It does not close the response. It
// returns a [CallerTransferError] if writing to the caller fails.
//
// If the response breaks, Copy panics with [http.ErrAbortHandler], which makes the
// HTTP server abort the caller's connection. With an ordinary return, the server
// would end the response normally, and the caller would take the part for a
// complete response. [Response.Err] then returns the cause.
func Copy(w http.ResponseWriter, response *Response) error {
	copyHeader(w.Header(), response)
	w.WriteHeader(response.Status)
	if err := copyBody(w, response); err != nil {
		return err
	}
	for name, values := range response.Trailer() {
		w.Header()[name] = values
	}
	return nil
}

func copyHeader(h http.Header, response *Response) {
	for name, values := range response.Header {
		h[name] = values
	}
	for _, name := range response.announcedTrailers {
		h.Add("Trailer", name)
	}
}

func copyBody(w http.ResponseWriter, response *Response) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		n, err := response.Read(buffer[:])
		if writeErr := write(w, buffer[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if response.Length < 0 {
			// A response without a declared length may be a slow stream.
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

// flush sends buffered data to the caller. It ignores all errors: a writer that
// can't flush sends the data later, and a broken connection fails the next write.
func flush(controller *http.ResponseController) {
	if err := controller.Flush(); errors.Is(err, http.ErrNotSupported) {
		return
	}
}
