package steer

// StepResult says why the plan is what it is.
type StepResult interface{ verdict() }

// PlanChanged says that the plan changed and must be written.
type PlanChanged struct{}

// TargetReached says that all routes have the weights that the table asks for.
type TargetReached struct{}

// StepHolding says that the last step has not settled on the host yet.
type StepHolding struct {
	Host string
}

// ReportMissing says that there is no fresh report of the host, so that what was
// decided stands.
type ReportMissing struct {
	Host string
}

// WaitingForLostRegion says that most hosts find a region lost; weights stand until it
// is back.
type WaitingForLostRegion struct{}

// NoCapacity says that the regions have no free slots, or the table no cap, for
// the next step.
type NoCapacity struct{}

func (PlanChanged) verdict()          {}
func (TargetReached) verdict()        {}
func (StepHolding) verdict()          {}
func (ReportMissing) verdict()        {}
func (WaitingForLostRegion) verdict() {}
func (NoCapacity) verdict()           {}
