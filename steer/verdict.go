package steer

// StepResult says whether [NextPlan] changed the plan, and if not, why.
type StepResult interface{ stepResult() }

// PlanChanged says that the plan changed and must be written.
type PlanChanged struct{}

// TargetReached says that all routes have their target weights.
type TargetReached struct{}

// StepHolding says that the host does not have the latest plan yet, or that
// the latest step has not held there.
type StepHolding struct {
	Host string
}

// ReportMissing says that there is no fresh report of the host, so that the
// plan stays unchanged.
type ReportMissing struct {
	Host string
}

// WaitingForLostRegion says that most hosts report a lost region. The weights stay
// unchanged until the region is back.
type WaitingForLostRegion struct{}

// NoCapacity says that no route can take a step of at least minStepShare
// within the shift caps and the free slots.
type NoCapacity struct{}

func (PlanChanged) stepResult()          {}
func (TargetReached) stepResult()        {}
func (StepHolding) stepResult()          {}
func (ReportMissing) stepResult()        {}
func (WaitingForLostRegion) stepResult() {}
func (NoCapacity) stepResult()           {}
