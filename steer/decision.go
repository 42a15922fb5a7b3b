package steer

// Request is what a decision needs to know of a request.
type Request struct {
	Route string
	Team  string
	Hash  RequestHash
}

// Decision is where a request goes.
type Decision struct {
	Service string
	Region  string
	// MovedFrom is the region that the request was moved from; empty if it was not
	// moved. A moved request has its token of the shift limit.
	MovedFrom string
	// CrossesRegions says that the request leaves the entry host's region. It has its
	// token of the link limit.
	CrossesRegions bool
}

// Violation is a broken invariant of the decisions. There must be none.
type Violation interface{ violation() }

// UncountedMove says that a request was moved without a token.
type UncountedMove struct {
	Route string
	From  string
	To    string
}

// LostChosen says that a request was sent to a lost region.
type LostChosen struct {
	Route  string
	Region string
}

func (UncountedMove) violation() {}
func (LostChosen) violation()    {}
