package store

import (
	"encoding/json"
	"net/http"

	"trefoilline.example/trefoilline/platform"
)

// reply writes the body, or what the error means over HTTP.
func reply(w http.ResponseWriter, body any, err error) {
	switch err := err.(type) {
	case nil:
		send(w, http.StatusOK, body)
	case *platform.NotFoundError:
		send(w, http.StatusNotFound, platform.Failure{
			Code:   platform.CodeNotFound,
			Reason: err.Error(),
		})
	case *platform.ConflictError:
		send(w, http.StatusPreconditionFailed, platform.Failure{
			Code:   platform.CodeConflict,
			Reason: err.Error(),
			Found:  err.Found,
		})
	case *platform.RefusedError:
		send(w, err.Status, platform.Failure{
			Code:   platform.CodeRefused,
			Reason: err.Reason,
		})
	case *platform.UnreachedError:
		send(w, http.StatusServiceUnavailable, platform.Failure{
			Code:   platform.CodeUnavailable,
			Reason: err.Error(),
		})
	default:
		// Ending the connection without an answer is what a lost reply is.
		panic(http.ErrAbortHandler)
	}
}

func send(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}
