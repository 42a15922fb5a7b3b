package entry

import (
	"net/http"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/table"
)

// forward sends the request to backend servers until one answers or no further
// try is allowed, and passes the answer on.
func (c *call) forward() error {
	request, err := c.request()
	if err != nil {
		return err
	}
	var last error
	for range MaxTries {
		last = c.try(request)
		if last == nil || !c.mayTryAgain(request, last) {
			return last
		}
	}
	return last
}

// mayTryAgain allows a further try if the last one was not run, or if the
// request may run again and has met fewer than MaxServers.
func (c *call) mayTryAgain(request *exchange.Request, err error) bool {
	if c.ctx.Err() != nil || !request.Resendable() {
		return false
	}
	switch e := err.(type) {
	case *NotRunError:
		return true
	case *UnknownOutcomeError:
		return request.Idempotent && request.HandedOver() < MaxServers && e.Reason != string(exchange.Cancelled)
	default:
		return false
	}
}

// try waits for a slot, sends the request once and passes on its answer.
func (c *call) try(request *exchange.Request) error {
	destination, err := c.place()
	if err != nil {
		return err
	}
	grant, err := c.handler.queueOf(destination).Acquire(c.ctx, c.team, c.deadline)
	if err != nil {
		return err
	}
	defer grant.Release()
	c.handler.Measures.Waited(c.team, grant.Waited)
	return c.send(request, grant)
}

// send checks the key once more, since the request may have waited long or the
// process may have been frozen, and hands the request over.
func (c *call) send(request *exchange.Request, grant *queue.Grant[*backend.Reservation]) error {
	reservation := grant.Value
	var evidence backend.Outcome = backend.Abandoned{}
	defer func() { c.handler.Pool.Done(reservation, evidence) }()
	if err := c.authenticate(); err != nil {
		return err
	}
	switch outcome := c.handler.Client.Send(c.ctx, reservation.Address, request).(type) {
	case *exchange.Answered:
		evidence = backend.Failed{}
		defer outcome.Close()
		c.answer(outcome, reservation)
		evidence = answerEvidence(outcome)
		return nil
	case exchange.NotRun:
		evidence = notRunEvidence(outcome)
		return &NotRunError{
			Reason: string(outcome.Reason()),
			Cause:  outcome.Cause(),
		}
	case *exchange.Unknown:
		evidence = unknownEvidence(outcome)
		return &UnknownOutcomeError{
			Reason: string(outcome.Reason),
			Server: reservation.Server,
			Cause:  outcome.Cause,
		}
	default:
		return &UnknownOutcomeError{
			Reason: string(Failed),
			Server: reservation.Server,
		}
	}
}

// answer passes the answer on. If it breaks, the caller's connection breaks too,
// by the panic of exchange.Copy, after the event is written.
func (c *call) answer(answered *exchange.Answered, reservation *backend.Reservation) {
	defer func() {
		if cause := answered.Broken(); cause != nil {
			c.handler.Log.Write(observe.AnswerBroken, zap.String("request", c.name),
				zap.String("server", reservation.Server), zap.Error(cause))
			c.handler.Measures.Refused(c.team, string(BrokenAnswer))
		}
	}()
	c.w.Header().Set(header.Request, c.name)
	if err := exchange.Copy(c.w, answered); err != nil {
		c.handler.Measures.Refused(c.team, string(CallerGone))
		return
	}
	c.handler.Measures.Answered(c.team, c.handler.now().Sub(c.start))
}

// answerEvidence says what an answer tells of its server: one that answers
// with an error of its own is alive.
func answerEvidence(answered *exchange.Answered) backend.Outcome {
	if answered.Broken() != nil {
		return backend.Failed{}
	}
	return backend.Answered{}
}

func notRunEvidence(outcome exchange.NotRun) backend.Outcome {
	if outcome.ByServer() {
		return backend.Shed{
			Leaving: outcome.Reason() == header.Draining,
		}
	}
	switch outcome.Reason() {
	case exchange.Unreached, exchange.NotSent:
		return backend.Failed{}
	default:
		return backend.Abandoned{}
	}
}

func unknownEvidence(outcome *exchange.Unknown) backend.Outcome {
	if outcome.Reason == exchange.Cancelled {
		return backend.Abandoned{}
	}
	return backend.Failed{}
}

// notRun reports whether the error says that the request was not run.
func notRun(err error) bool {
	return err != nil && !classify(err).unknown
}

// teamWeights returns the weights of the fair queues.
func teamWeights(teams []table.Team) map[string]float64 {
	weights := make(map[string]float64, len(teams))
	for _, t := range teams {
		weights[t.Name] = t.Weight
	}
	return weights
}

var _ http.Handler = (*Handler)(nil)
