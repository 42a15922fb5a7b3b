package quota

import (
	"fmt"
	"math"
	"time"
)

// A borrower uses a loan for loanTime from when it asked for it, and the lender keeps it
// reserved for reservationTime from when it was asked, which is later. The difference allows for
// clocks that run at different rates.
const (
	loanTime        = 1200 * time.Millisecond
	reservationTime = 1300 * time.Millisecond
)

// LoanRequest asks a holder for fractions of its parts. Each request replaces the one before.
type LoanRequest struct {
	// Borrower is the host that asks, Incarnation identifies its process, and Sequence grows
	// with each request.
	Borrower    string `json:"borrower"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Received is the sequence of the last request whose response was received. The borrower
	// no longer uses what it got before.
	Received uint64 `json:"received,omitempty"`
	// Demand is the demand of the teams of whose rate the borrower owns a part.
	Demand Demand `json:"asked,omitempty"`
	// Returned holds saved tokens for which the borrower has no room any more, because it uses
	// less than before.
	Returned Tokens `json:"returned,omitempty"`
}

// Tokens holds saved tokens by team.
type Tokens map[string]float64

// LoanResponse lends fractions of the rates until the next response.
type LoanResponse struct {
	// Incarnation identifies the lender's process.
	Incarnation uint64 `json:"incarnation"`
	// HasPart is true if the lender has a part of which it can lend.
	HasPart bool   `json:"lends,omitempty"`
	Shares  Shares `json:"parts,omitempty"`
	// Tokens holds saved tokens for which the lender has no room any more.
	Tokens Tokens `json:"tokens,omitempty"`
}

// InvalidLoanError reports a value in a message about a loan that no host sends.
type InvalidLoanError struct {
	Team  string
	Value float64
}

func (e *InvalidLoanError) Error() string {
	return fmt.Sprintf("team %q: %v is out of range", e.Team, e.Value)
}

// Validate returns an [InvalidLoanError] if a demand or a number of tokens is negative.
func (r *LoanRequest) Validate() error {
	if err := requireRange(r.Demand, math.MaxFloat64); err != nil {
		return err
	}
	return requireRange(r.Returned, math.MaxFloat64)
}

// Validate returns an [InvalidLoanError] if a share is not from 0 to 1 or a number of tokens is
// negative.
func (r *LoanResponse) Validate() error {
	if err := requireRange(r.Shares, 1); err != nil {
		return err
	}
	return requireRange(r.Tokens, math.MaxFloat64)
}

func requireRange(values map[string]float64, highest float64) error {
	for team, value := range values {
		if value < 0 || value > highest {
			return &InvalidLoanError{
				Team:  team,
				Value: value,
			}
		}
	}
	return nil
}

// loan is a set of fractions that are lent from one host to another.
type loan struct {
	incarnation uint64
	sequence    uint64
	shares      Shares
	// askedAt is when the borrower asked, or on the lender, when the request arrived.
	askedAt time.Time
}
