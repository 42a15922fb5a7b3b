package store

import (
	"encoding/json"
	"net/http"

	"trefoilline.example/trefoilline/objectstore"
)

// reply writes the body, or what the error means over HTTP.
func reply(w http.ResponseWriter, body any, err error) {
	switch err := err.(type) {
	case nil:
		send(w, http.StatusOK, body)
	case *objectstore.NotFoundError:
		send(w, http.StatusNotFound, objectstore.ErrorResponse{
			Code:   objectstore.CodeNotFound,
			Reason: err.Error(),
		})
	case *objectstore.ConflictError:
		send(w, http.StatusPreconditionFailed, objectstore.ErrorResponse{
			Code:           objectstore.CodeConflict,
			Reason:         err.Error(),
			CurrentVersion: err.CurrentVersion,
		})
	case *objectstore.RefusedError:
		send(w, err.Status, objectstore.ErrorResponse{
			Code:   objectstore.CodeRefused,
			Reason: err.Reason,
		})
	case *objectstore.UnavailableError:
		send(w, http.StatusServiceUnavailable, objectstore.ErrorResponse{
			Code:   objectstore.CodeUnavailable,
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
