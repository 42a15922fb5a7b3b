package exchange

import (
	"bytes"
	"io"
	"net/http"
)

// setBody gives the outgoing request its body and trailers.
func (t *try) setBody(outgoing *http.Request) {
	switch b := t.request.Body.(type) {
	case *Stream:
		outgoing.ContentLength = b.Length
		t.attach(outgoing, b, b.Trailer)
	case *Bytes:
		outgoing.ContentLength = int64(len(b.Content))
		t.attach(outgoing, bytes.NewReader(b.Content), b.Trailer)
	default:
		outgoing.Body = http.NoBody
	}
}

// attach sets a reader that ends with the try. Trailers go out as they are at
// the end of the body, without what can carry the key.
func (t *try) attach(outgoing *http.Request, reader io.Reader, trailer http.Header) {
	t.source = &source{
		reader:    reader,
		beginning: t.beginning,
	}
	outgoing.Body = t.source
	names := t.forwardTrailer(trailer)
	if len(names) == 0 {
		return
	}
	outgoing.ContentLength = -1
	outgoing.Trailer = make(http.Header, len(names))
	for name := range names {
		outgoing.Trailer[name] = nil
	}
	t.source.finish = func() { t.fillTrailer(outgoing.Trailer, trailer) }
}

// fillTrailer sets the announced trailers that may go along.
func (t *try) fillTrailer(announced, trailer http.Header) {
	for name, values := range t.forwardTrailer(trailer) {
		if _, isAnnounced := announced[name]; isAnnounced {
			announced[name] = values
		}
	}
}

func (t *try) forwardTrailer(trailer http.Header) http.Header {
	if t.request.ToEntryHost {
		return withoutHopByHop(trailer)
	}
	return forwardTrailer(trailer, t.request.APIKey)
}
