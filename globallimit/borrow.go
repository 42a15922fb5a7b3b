package globallimit

import "time"

// dueLoanRequests updates the demand estimates of all limits and returns the
// loan requests that are due, one message for each lender. The estimates are
// updated nowhere else.
func (l *Limiter) dueLoanRequests(now instant) []Envelope {
	confirmed := l.isConfirmed(now)
	var batch loanRequestBatch
	for _, name := range l.limitNames {
		b := l.buckets[name]
		b.demand.update(b.limit, b.slotsInUse, now.monotonic)
		if b.demand.estimate == 0 && len(b.incoming) == 0 {
			continue
		}
		b.advance(now, confirmed)
		l.requestLoans(b, now, confirmed, &batch)
	}
	return batch.envelopes(l.processID)
}

// loanRequestBatch collects request items by lender. It keeps the lenders in
// the order of their first item.
type loanRequestBatch struct {
	lenders []ProcessID
	items   map[ProcessID][]LoanRequestItem
}

func (r *loanRequestBatch) add(lender ProcessID, item LoanRequestItem) {
	if r.items == nil {
		r.items = make(map[ProcessID][]LoanRequestItem)
	}
	if _, ok := r.items[lender]; !ok {
		r.lenders = append(r.lenders, lender)
	}
	r.items[lender] = append(r.items[lender], item)
}

func (r *loanRequestBatch) envelopes(from ProcessID) []Envelope {
	envelopes := make([]Envelope, 0, len(r.lenders))
	for _, lender := range r.lenders {
		envelopes = append(envelopes, Envelope{
			To: lender.Host,
			Message: LoanRequest{
				From:  from,
				To:    lender,
				Items: r.items[lender],
			},
		})
	}
	return envelopes
}

// requestLoans requests from the owners of one limit the share that this host
// wants in addition to its own. It also renews loans and returns shares that
// are no longer wanted.
func (l *Limiter) requestLoans(b *bucket, now instant, confirmed bool, batch *loanRequestBatch) {
	b.removeEndedIncomingLoans(now)
	desiredShare := b.demand.desiredShare(b.limit)
	missing := desiredShare
	if confirmed {
		missing = max(0, desiredShare-b.ownShare)
	}
	if missing < minShare && len(b.incoming) == 0 {
		return
	}
	loans := b.loansFromOwners(l.epoch.member)
	wantedByLoan := b.wantedByLoan(loans, missing, now)
	for i, loan := range loans {
		wanted := wantedByLoan[i]
		if !loan.isDue(wanted, now) {
			continue
		}
		l.loanSequence++
		batch.add(loan.lender, b.newRequestItem(loan, wanted, l.loanSequence, now))
	}
}

// loansFromOwners returns the loans from all owners, and from former owners
// that still lend. Owners without a loan get an empty one.
func (b *bucket) loansFromOwners(self ProcessID) []*incomingLoan {
	for _, owner := range b.owners {
		if owner != self && b.incomingLoanFrom(owner) == nil {
			b.incoming = append(b.incoming, &incomingLoan{
				lender:           owner,
				requestedAt:      never,
				reductionAckedAt: never,
				expiresAt:        never,
			})
		}
	}
	return b.incoming
}

func (b *bucket) incomingLoanFrom(lender ProcessID) *incomingLoan {
	for _, loan := range b.incoming {
		if loan.lender == lender {
			return loan
		}
	}
	return nil
}

// wantedByLoan returns the share to request for each loan. All loans keep their
// current share, or are scaled down if that is more than is missing. The rest
// is divided equally among the lenders that may lend more. A lender that could
// not give all that was requested is asked again for an equal part of the rest
// after half of loanRenewInterval, so the sum may exceed what is missing.
func (b *bucket) wantedByLoan(loans []*incomingLoan, missing float64, now instant) []float64 {
	shares := make([]float64, len(loans))
	lendersLeft := 0
	unassigned := missing
	for i, loan := range loans {
		shares[i] = loan.currentShare(now)
		unassigned -= shares[i]
		if loan.mayLendMore(now) {
			lendersLeft++
		}
	}
	if unassigned < 0 {
		scale := missing / (missing - unassigned)
		for i := range shares {
			shares[i] *= scale
		}
		return shares
	}
	for i, loan := range loans {
		if loan.mayLendMore(now) {
			shares[i] += unassigned / float64(lendersLeft)
		} else if now.withSuspend-loan.requestedAt >= loanRenewInterval/2 {
			shares[i] += unassigned / float64(len(loans))
		}
	}
	return shares
}

// mayLendMore reports whether the lender gave all that was last requested, or
// has not been asked, or still has time to answer.
func (loan *incomingLoan) mayLendMore(now instant) bool {
	if loan.isOverdue(now) {
		return false
	}
	return loan.requestedAt == never || loan.awaitingResponse || loan.share >= loan.wanted-minShare
}

// isOverdue reports whether the lender has not answered within
// minLoanRequestInterval.
func (loan *incomingLoan) isOverdue(now instant) bool {
	return loan.awaitingResponse && now.withSuspend-loan.requestedAt >= minLoanRequestInterval
}

func (loan *incomingLoan) currentShare(now instant) float64 {
	if now.withSuspend >= loan.expiresAt {
		return 0
	}
	return loan.share
}

// isDue reports whether a request for this loan must be sent now. Requests are
// at least minLoanRequestInterval apart, except after a recall and except those
// with which receiveLoanResponse acknowledges a reduced share at once. A loan is
// renewed after loanRenewInterval, or earlier if the wanted share grew by more
// than a tenth and minShare. An unanswered request is repeated after half of
// loanRenewInterval.
func (loan *incomingLoan) isDue(wanted float64, now instant) bool {
	if loan.recalled {
		return true
	}
	age := now.withSuspend - loan.requestedAt
	if age < minLoanRequestInterval {
		return false
	}
	if loan.reduced {
		return true
	}
	currentShare := loan.currentShare(now)
	if wanted < minShare && currentShare == 0 {
		return false
	}
	if loan.awaitingResponse && age < loanRenewInterval/2 {
		return false
	}
	change := wanted - currentShare
	if change > max(minShare, currentShare/10) && (!loan.awaitingResponse || age >= loanRenewInterval/2) {
		return true
	}
	return age >= loanRenewInterval
}

// newRequestItem returns the request for a loan. The borrower stops using the
// share that it no longer wants before the request is sent. Capping the tokens
// counts the own share even without a confirmation; the caller has already
// called advance, which did not.
func (b *bucket) newRequestItem(loan *incomingLoan, wanted float64, sequence uint64, now instant) LoanRequestItem {
	held := min(loan.currentShare(now), wanted)
	if _, isSlots := b.limit.Kind.(Slots); isSlots {
		held = b.shareHeldBySlots(loan, held, now)
	}
	if held < loan.share {
		loan.share = held
		b.capTokens(b.usableShare(now, true))
	}
	loan.sequence = sequence
	loan.requestedAt = now.withSuspend
	loan.awaitingResponse = true
	loan.reduced = false
	loan.recalled = false
	loan.wanted = wanted
	return LoanRequestItem{
		Limit:    b.limit.Name,
		Sequence: sequence,
		Held:     held,
		Wanted:   wanted,
	}
}

// shareHeldBySlots returns the share of the loan that the borrower must keep
// because requests still run in its slots. The own share counts even without a
// confirmation, because requests granted earlier may still run in it.
func (b *bucket) shareHeldBySlots(loan *incomingLoan, held float64, now instant) float64 {
	loan.peakShare = max(loan.peakShare, loan.share)
	shareAfter := b.usableShare(now, true) - loan.currentShare(now) + held
	if b.slotsInUse > shareAfter*b.limit.capacity() {
		return loan.peakShare
	}
	loan.peakShare = held
	return held
}

// removeEndedIncomingLoans removes the loans that have expired and were not
// requested within loanRetention.
func (b *bucket) removeEndedIncomingLoans(now instant) {
	kept := b.incoming[:0]
	for _, loan := range b.incoming {
		if now.withSuspend < loan.expiresAt || now.withSuspend-loan.requestedAt < loanRetention {
			kept = append(kept, loan)
		}
	}
	clear(b.incoming[len(kept):])
	b.incoming = kept
}

// receiveLoanResponse applies the lender's response. If a share became smaller,
// it acknowledges that to the lender at once, because the lender can't use the
// share until then.
func (l *Limiter) receiveLoanResponse(m LoanResponse, now instant) []Envelope {
	if m.To != l.processID {
		return nil
	}
	var batch loanRequestBatch
	confirmed := l.isConfirmed(now)
	for _, item := range m.Items {
		b, ok := l.buckets[item.Limit]
		if !ok {
			continue
		}
		loan := b.incomingLoanFrom(m.From)
		if loan == nil || !loan.awaitingResponse || loan.sequence != item.Sequence {
			continue
		}
		b.advance(now, confirmed)
		b.acceptResponse(loan, item, now, confirmed)
		if loan.reduced && now.withSuspend-loan.reductionAckedAt >= loanRenewInterval {
			loan.reductionAckedAt = now.withSuspend
			l.loanSequence++
			batch.add(loan.lender, b.newRequestItem(loan, loan.share, l.loanSequence, now))
		}
	}
	return batch.envelopes(l.processID)
}

// acceptResponse applies the response to the newest request for the loan.
func (b *bucket) acceptResponse(loan *incomingLoan, item LoanResponseItem, now instant, confirmed bool) {
	loan.awaitingResponse = false
	loan.reduced = item.Share < loan.share
	expiresAt := loan.requestedAt + item.Duration
	if now.withSuspend >= expiresAt {
		return
	}
	loan.share = item.Share
	loan.expiresAt = expiresAt
	loan.peakShare = max(loan.peakShare, loan.share)
	b.tokens += item.Tokens
	b.capTokens(b.usableShare(now, confirmed))
}

// loanDuration returns the longest duration of a loan granted under a
// confirmation that is valid for confirmationLeft.
func loanDuration(confirmationLeft time.Duration) time.Duration {
	return min(MaxLoanDuration, confirmationLeft)
}
