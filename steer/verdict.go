package steer

// Verdict says why the plan is what it is.
type Verdict interface{ verdict() }

// Stepped says that the plan changed and must be written.
type Stepped struct{}

// Reached says that all routes have the weights that the table asks for.
type Reached struct{}

// Holding says that the last step has not settled on the host yet.
type Holding struct {
	Host string
}

// Unmeasured says that there is no fresh report of the host, so that what was
// decided stands.
type Unmeasured struct {
	Host string
}

// RegionLost says that most hosts find a region lost; weights stand until it
// is back.
type RegionLost struct{}

// NoRoom says that the regions have no free slots, or the table no cap, for
// the next step.
type NoRoom struct{}

func (Stepped) verdict()    {}
func (Reached) verdict()    {}
func (Holding) verdict()    {}
func (Unmeasured) verdict() {}
func (RegionLost) verdict() {}
func (NoRoom) verdict()     {}
