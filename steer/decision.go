package steer

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Route string
	Team  string
	Hash  RequestHash
}

// Decision says where a request is served.
type Decision struct {
	Service string
	Region  string
	// MovedFrom is the region that the request was moved from; empty if it
	// was not moved. For a moved request, the tokens of the shift limit have
	// been taken.
	MovedFrom string
	// CrossesRegions says that the request is served outside the entry host's
	// region. The token of the link limit has then been taken.
	CrossesRegions bool
}

// Violation is a violated invariant of the decisions. Each one is a bug. The
// daemon logs the names of its type and fields.
type Violation interface{ violation() }

// UncountedMove says that a request was moved to another region without being
// counted against the shift limit.
type UncountedMove struct {
	Route string
	From  string
	To    string
}

// LostChosen says that a lost region was chosen for a request.
type LostChosen struct {
	Route  string
	Region string
}

func (UncountedMove) violation() {}
func (LostChosen) violation()    {}
