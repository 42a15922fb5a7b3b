package objectstore

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"trefoilline.example/trefoilline/header"
)

// maxBodyReadSize limits two reads of a response body, in bytes: that of an error
// response, and that of what follows the JSON value of a successful response.
const maxBodyReadSize = 64 << 10

// noValidResponseError reports that no complete response in the store's format was
// received. The caller turns it into an [UnavailableError] or an [UnknownOutcomeError].
type noValidResponseError struct {
	Cause error
}

func (e *noValidResponseError) Error() string { return "no valid response: " + e.Cause.Error() }

func (e *noValidResponseError) Unwrap() error { return e.Cause }

// statusError reports a response that does not tell whether the call took effect.
type statusError struct {
	Status int
	Cause  error
}

func (e *statusError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("cannot decode the response with HTTP status %d: %v", e.Status, e.Cause)
	}
	return fmt.Sprintf("response with HTTP status %d", e.Status)
}

func (e *statusError) Unwrap() error { return e.Cause }

// send sends the request once and decodes the response into result. It returns a
// [noValidResponseError] if it receives no valid response.
func (c *Client) send(request *http.Request, key string, result any) error {
	response, err := c.httpClient().Do(request)
	if err != nil {
		return &noValidResponseError{
			Cause: err,
		}
	}
	defer response.Body.Close()
	if err := header.CheckStatus(response.StatusCode); err != nil {
		return &noValidResponseError{
			Cause: err,
		}
	}
	if response.StatusCode != http.StatusOK {
		return parseError(response, key)
	}
	if err := decodeBody(response.Body, result); err != nil {
		return &noValidResponseError{
			Cause: &statusError{
				Status: response.StatusCode,
				Cause:  err,
			},
		}
	}
	// The connection can be reused only if the body is read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyReadSize))
	return nil
}

// rawBody is the body of a response as it was received.
type rawBody struct {
	content []byte
}

// decodeBody decodes the body of a successful response.
func decodeBody(body io.Reader, result any) error {
	raw, isRaw := result.(*rawBody)
	if !isRaw {
		return json.NewDecoder(body).Decode(result)
	}
	content, err := io.ReadAll(body)
	raw.content = content
	return err
}

// parseError turns a response with an error status into a typed error. Only a body
// in the store's format proves that the call changed nothing.
func parseError(response *http.Response, key string) error {
	var body ErrorResponse
	err := json.NewDecoder(io.LimitReader(response.Body, maxBodyReadSize)).Decode(&body)
	if err != nil {
		return &noValidResponseError{
			Cause: &statusError{
				Status: response.StatusCode,
				Cause:  err,
			},
		}
	}
	switch body.Code {
	case CodeNotFound:
		return &NotFoundError{
			Key: key,
		}
	case CodeConflict:
		return &ConflictError{
			Key:            key,
			CurrentVersion: body.CurrentVersion,
		}
	case CodeRefused:
		return &RefusedError{
			Key:    key,
			Reason: body.Reason,
			Status: response.StatusCode,
		}
	case CodeUnavailable:
		return &UnavailableError{
			Key: key,
			Cause: &statusError{
				Status: response.StatusCode,
			},
		}
	}
	return &noValidResponseError{
		Cause: &statusError{
			Status: response.StatusCode,
		},
	}
}
