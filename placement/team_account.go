package placement

import (
	"math"
	"time"
)

// usageHalfLife is the half-life of the slot time that a team is charged for. It must cover
// several requests of a small team, and bounds the lead that a team gains while it is idle.
const usageHalfLife = 500 * time.Millisecond

// teamAccount is what a team has used of a service's slots, by which queued requests of different
// teams are ordered.
type teamAccount struct {
	// weight is the team's share relative to those of other teams; zero if it is unknown.
	weight float64
	// usage is the slot time in seconds that the team was charged, decayed until chargedAt.
	usage     float64
	chargedAt time.Time
}

// teamAccounts holds the accounts of a service's teams by name. Accounts are not removed: names of
// teams come from the configuration.
type teamAccounts struct {
	byTeam map[string]*teamAccount
	// weights is the sum of the known weights, of which there are weighted.
	weights  float64
	weighted int
}

// account returns the account of the request's team, with the weight that the request states.
func (a *teamAccounts) account(request *Request) *teamAccount {
	known, isKnown := a.byTeam[request.Team]
	if !isKnown {
		if a.byTeam == nil {
			a.byTeam = make(map[string]*teamAccount)
		}
		known = &teamAccount{}
		a.byTeam[request.Team] = known
	}
	a.setWeight(known, request.TeamWeight)
	return known
}

func (a *teamAccounts) setWeight(account *teamAccount, weight float64) {
	if account.weight == weight {
		return
	}
	if account.weight > 0 {
		a.weighted--
	}
	if weight > 0 {
		a.weighted++
	}
	a.weights += weight - account.weight
	account.weight = weight
}

// weightOf returns the weight of the account, or the mean of the known weights if it has none.
func (a *teamAccounts) weightOf(account *teamAccount) float64 {
	switch {
	case account.weight > 0:
		return account.weight
	case a.weighted > 0:
		return a.weights / float64(a.weighted)
	}
	return 1
}

// normalizedUsage returns the slot time that the team was charged lately, divided by its weight.
func (a *teamAccounts) normalizedUsage(account *teamAccount, now time.Time) float64 {
	return account.usageAt(now) / a.weightOf(account)
}

func (a *teamAccount) usageAt(now time.Time) float64 {
	if a.usage == 0 {
		return 0
	}
	return a.usage * decay(now.Sub(a.chargedAt), usageHalfLife)
}

// slotsUsed returns how many slots the team was granted on average lately.
func (a *teamAccount) slotsUsed(now time.Time) float64 {
	return a.usageAt(now) * math.Ln2 / usageHalfLife.Seconds()
}

// charge adds the slot time of a granted request.
func (a *teamAccount) charge(slotTime time.Duration, now time.Time) {
	a.usage = a.usageAt(now) + slotTime.Seconds()
	a.chargedAt = now
}
