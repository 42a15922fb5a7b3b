package store

import (
	"encoding/json"
	"net/http"

	"trefoilline.example/trefoilline/objectstore"
)

// writeResult writes the body with status 200, or the error response that
// corresponds to the error. For any other error, such as an unknown outcome, it
// closes the connection without a response.
func writeResult(w http.ResponseWriter, body any, err error) {
	switch err := err.(type) {
	case nil:
		writeJSON(w, http.StatusOK, body)
	case *objectstore.NotFoundError:
		writeJSON(w, http.StatusNotFound, objectstore.ErrorResponse{
			Code:   objectstore.CodeNotFound,
			Reason: err.Error(),
		})
	case *objectstore.ConflictError:
		writeJSON(w, http.StatusPreconditionFailed, objectstore.ErrorResponse{
			Code:           objectstore.CodeConflict,
			Reason:         err.Error(),
			CurrentVersion: err.CurrentVersion,
		})
	case *objectstore.RefusedError:
		writeJSON(w, err.Status, objectstore.ErrorResponse{
			Code:   objectstore.CodeRefused,
			Reason: err.Reason,
		})
	case *objectstore.UnavailableError:
		writeJSON(w, http.StatusServiceUnavailable, objectstore.ErrorResponse{
			Code:   objectstore.CodeUnavailable,
			Reason: err.Error(),
		})
	default:
		// An unknown outcome shows as a connection that is closed without a
		// response.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
