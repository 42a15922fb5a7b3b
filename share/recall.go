package share

import "slices"

// dueRecalls returns the recalls of lent shares that this host now needs
// itself.
func (l *Limiter) dueRecalls(now instant) []Envelope {
	confirmed := l.isConfirmed(now)
	var recalls recallBatch
	for _, name := range l.limitNames {
		b := l.buckets[name]
		if len(b.outgoing) == 0 || b.demand.reservedShare(b.limit) <= b.unlentShare(now, confirmed) {
			continue
		}
		recalls.add(b, nil, now)
	}
	return recalls.envelopes
}

// recallBatch collects the limits to recall, one message for each borrower.
type recallBatch struct {
	envelopes []Envelope
}

// add recalls the shares of all borrowers that have more than an equal share,
// except one, each at most once in half of loanRenewInterval.
func (r *recallBatch) add(b *bucket, except *outgoingLoan, now instant) {
	equalShare := b.equalShare(now)
	for _, loan := range b.outgoing {
		if loan == except || loan.outstandingShare(now) < equalShare+minShare || now.monotonic-loan.recalledAt < loanRenewInterval/2 {
			continue
		}
		loan.recalledAt = now.monotonic
		r.addLimit(loan, b.limit.Name)
	}
}

func (r *recallBatch) addLimit(loan *outgoingLoan, limit string) {
	for i, envelope := range r.envelopes {
		recall := envelope.Message.(LoanRecall)
		if recall.To == loan.borrower && recall.From == loan.lender {
			recall.Limits = append(recall.Limits, limit)
			r.envelopes[i].Message = recall
			return
		}
	}
	r.envelopes = append(r.envelopes, Envelope{
		To: loan.borrower.Host,
		Message: LoanRecall{
			From:   loan.lender,
			To:     loan.borrower,
			Limits: []string{limit},
		},
	})
}

// equalShare returns an equal share for this host and each borrower with an
// outstanding loan.
func (b *bucket) equalShare(now instant) float64 {
	users := 1
	for _, loan := range b.outgoing {
		if loan.outstandingShare(now) > 0 {
			users++
		}
	}
	return b.ownShare / float64(users)
}

// receiveLoanRecall lowers the demand estimate to the demand of the last two
// ticks and sends the lender a new request at once.
func (l *Limiter) receiveLoanRecall(m LoanRecall, now instant) []Envelope {
	if m.To != l.processID {
		return nil
	}
	confirmed := l.isConfirmed(now)
	var batch loanRequestBatch
	for _, name := range m.Limits {
		b, ok := l.buckets[name]
		if !ok {
			continue
		}
		loan := b.incomingLoanFrom(m.From)
		if loan == nil || loan.currentShare(now) == 0 {
			continue
		}
		loan.recalled = true
		b.advance(now, confirmed)
		b.demand.estimate = min(b.demand.estimate, slices.Max(b.demand.recent[:]))
		l.requestLoans(b, now, confirmed, &batch)
	}
	return batch.envelopes(l.processID)
}
