package header

import "time"

// Dialect names the headers between an entry host and backend servers, where
// they are not this package's own.
type Dialect struct {
	// RequestID carries the request's name, which backend servers echo.
	RequestID string
	// Timeout carries the time left for the request.
	Timeout string
	// FormatTimeout writes the time left.
	FormatTimeout func(left time.Duration) string
	// NotRun is set in the answer of a backend server that did not run the
	// request.
	NotRun string
	// TargetServer names the backend server that the request is meant for. Another one
	// at its address refuses the request.
	TargetServer string
	// Team carries the name of the caller's team.
	Team string
	// APIKey carries the caller's key; backend servers never get it.
	APIKey string
	// ResponseSeal is the header that every whole answer of a backend server bears.
	ResponseSeal string
	// ServerLoad tells how busy the backend server is, if it does.
	ServerLoad string
	// RespondingServer names the backend server that answers, where it says so.
	RespondingServer string
	// WarmUpRemaining tells in an answer to a probe how long the server stays cold.
	WarmUpRemaining string
}

// DefaultDialect is the dialect of the product's own interface.
var DefaultDialect = Dialect{
	RequestID:     RequestID,
	Timeout:       Timeout,
	FormatTimeout: FormatTimeout,
	NotRun:        NotRun,
	APIKey:        APIKey,
}
