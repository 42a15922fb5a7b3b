package transport

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"trefoilline.example/trefoilline/header"
)

// maxInterimResponses limits the interim responses before a final one. The limit of the transport for the
// size of heads holds for each of them.
const maxInterimResponses = 16

// InterimResponsesError reports a response after more than [maxInterimResponses] interim responses.
type InterimResponsesError struct{}

func (*InterimResponsesError) Error() string {
	return fmt.Sprintf("more than %d interim responses", maxInterimResponses)
}

// Checked is an [http.RoundTripper] that returns a [header.InvalidNameError] for a response with an invalid
// field name in its head, and so does the body at its end if a trailer has one. It returns the same error for
// an interim response, and an [InterimResponsesError] if there are too many.
type Checked struct {
	// Base sends the requests; [http.DefaultTransport] if nil.
	Base http.RoundTripper
}

// RoundTrip implements [http.RoundTripper].
func (t *Checked) RoundTrip(request *http.Request) (*http.Response, error) {
	interimResponses := 0
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			interimResponses++
			if interimResponses > maxInterimResponses {
				return &InterimResponsesError{}
			}
			return header.CheckNames(http.Header(h))
		},
	})
	response, err := t.base().RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := header.CheckNames(response.Header); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &checkedBody{
			ReadCloser: response.Body,
			response:   response,
		}
	}
	return response, nil
}

func (t *Checked) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}

// checkedBody is a body in chunks. It checks the trailers at its end.
type checkedBody struct {
	io.ReadCloser

	response *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := header.CheckNames(b.response.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}
