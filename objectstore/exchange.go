package objectstore

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxFailureSize bounds the body of a failure, in bytes.
const maxFailureSize = 64 << 10

// unansweredError reports that no whole answer came; the caller turns it into
// what that means for a read or a write.
type unansweredError struct {
	Cause error
}

func (e *unansweredError) Error() string { return "no whole answer: " + e.Cause.Error() }

func (e *unansweredError) Unwrap() error { return e.Cause }

// statusError reports an answer that says nothing certain about the call.
type statusError struct {
	Status int
	Cause  error
}

func (e *statusError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("answer with status %d can't be read: %v", e.Status, e.Cause)
	}
	return fmt.Sprintf("answer with status %d", e.Status)
}

func (e *statusError) Unwrap() error { return e.Cause }

// exchange sends the request once and decodes a whole answer.
func (c *Client) exchange(request *http.Request, key string, into any) error {
	response, err := c.http().Do(request)
	if err != nil {
		return &unansweredError{
			Cause: err,
		}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return failure(response, key)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return &unansweredError{
			Cause: &statusError{
				Status: response.StatusCode,
				Cause:  err,
			},
		}
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxFailureSize))
	return nil
}

// failure turns an answer that is no success into a typed error. Only a body
// that the store itself wrote proves that the call changed nothing.
func failure(response *http.Response, key string) error {
	var found ErrorResponse
	err := json.NewDecoder(io.LimitReader(response.Body, maxFailureSize)).Decode(&found)
	if err != nil {
		return &unansweredError{
			Cause: &statusError{
				Status: response.StatusCode,
				Cause:  err,
			},
		}
	}
	switch found.Code {
	case CodeNotFound:
		return &NotFoundError{
			Key: key,
		}
	case CodeConflict:
		return &ConflictError{
			Key:            key,
			CurrentVersion: found.CurrentVersion,
		}
	case CodeRefused:
		return &RefusedError{
			Key:    key,
			Reason: found.Reason,
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
	return &unansweredError{
		Cause: &statusError{
			Status: response.StatusCode,
		},
	}
}
