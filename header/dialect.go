package header

import "time"

// Dialect holds the names of the headers that an entry host exchanges with backend
// servers, for backend servers that do not use the names that this package defines.
// Package exchange uses APIKey and the names from RequestID to TargetServer; package
// bufferproxy also uses Team and CompleteMarker.
type Dialect struct {
	// RequestID carries the ID of the request. Backend servers echo it in the
	// response.
	RequestID string
	// Timeout carries the time that is left for the request.
	Timeout string
	// FormatTimeout returns the value of the Timeout header.
	FormatTimeout func(timeout time.Duration) string
	// NotRun is set in the response of a backend server that did not run the
	// request.
	NotRun string
	// TargetServer carries the name of the backend server that the request is sent
	// to. A different backend server at the same address refuses the request.
	TargetServer string
	// Team carries the name of the caller's team.
	Team string
	// APIKey carries the caller's API key. It is removed before a request is sent
	// to a backend server.
	APIKey string
	// KeepsTargets is true if callers send their keys in the header APIKey only, so that no other
	// header, cookie or query parameter is left out for its name.
	KeepsTargets bool
	// CompleteMarker is set by a backend server in each of its complete responses.
	// Package bufferproxy does not pass on a 2xx response without this header; it does
	// not check the value.
	CompleteMarker string
	// ServerLoad carries the current load of the backend server, if the server
	// reports it.
	ServerLoad string
	// RespondingServer carries the name of the backend server that responds, if the
	// server reports it.
	RespondingServer string
	// WarmUpRemaining carries, in the response to a health probe, how much longer
	// the backend server warms up.
	WarmUpRemaining string
}

// DefaultDialect uses the header names that this package defines. It has no names for
// the headers TargetServer, Team, CompleteMarker, ServerLoad, RespondingServer and
// WarmUpRemaining.
var DefaultDialect = Dialect{
	RequestID:     RequestID,
	Timeout:       Timeout,
	FormatTimeout: FormatTimeout,
	NotRun:        NotRun,
	APIKey:        APIKey,
}
