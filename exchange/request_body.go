package exchange

import (
	"io"
	"net/http"
)

// setBody sets the body and the trailers of the outgoing request.
func (a *attempt) setBody(outgoing *http.Request) {
	switch b := a.request.Body.(type) {
	case *Stream:
		outgoing.ContentLength = b.Length
		a.setBodyReader(outgoing, b, b.Trailer)
	case *Bytes:
		outgoing.ContentLength = b.Length()
		a.setBodyReader(outgoing, b.newReader(), b.Trailer)
	default:
		outgoing.Body = http.NoBody
	}
}

// setBodyReader sets a body that can be read until the attempt ends. The trailers
// are announced by name, without those that can contain the caller's API key,
// and their values are set at the end of the body.
func (a *attempt) setBodyReader(outgoing *http.Request, reader io.Reader, trailer http.Header) {
	a.body = &attemptBody{
		reader:        reader,
		responseTimer: a.responseTimer,
	}
	outgoing.Body = a.body
	forwarded := a.forwardedTrailer(trailer)
	if len(forwarded) == 0 {
		return
	}
	// Trailers need chunked encoding, which net/http uses if the length is
	// unknown.
	outgoing.ContentLength = -1
	outgoing.Trailer = make(http.Header, len(forwarded))
	for name := range forwarded {
		outgoing.Trailer[name] = nil
	}
	a.body.onEOF = func() { a.setTrailerValues(outgoing.Trailer, trailer) }
}

// setTrailerValues copies the filtered values of the announced trailers.
func (a *attempt) setTrailerValues(announced, trailer http.Header) {
	for name, values := range a.forwardedTrailer(trailer) {
		if _, isAnnounced := announced[name]; isAnnounced {
			announced[name] = values
		}
	}
}

// forwardedTrailer returns the trailers that may be forwarded.
func (a *attempt) forwardedTrailer(trailer http.Header) http.Header {
	switch {
	case a.request.ToEntryHost:
		return removeHopByHop(trailer)
	case a.client.dialect().KeepsTargets:
		return removeKey(removeHopByHop(trailer), a.request.APIKey)
	}
	return filterTrailer(trailer, a.request.APIKey)
}
