package experiment

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const faultTimeout = 5 * time.Second

// injectFaults sends the plan's faults, each at its time.
func (r *Runner) injectFaults(ctx context.Context) {
	for i, f := range r.Plan.Faults {
		if !r.waitUntil(ctx, time.Duration(f.At)) {
			r.collector.RecordFaultFailure(i, &RunEndedError{})
			continue
		}
		if err := r.sendFault(ctx, f); err != nil {
			r.collector.RecordFaultFailure(i, err)
		}
	}
}

func (r *Runner) sendFault(ctx context.Context, f Fault) error {
	requestCtx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(requestCtx, f.Method, f.URL, strings.NewReader(f.Body))
	if err != nil {
		return err
	}
	client := r.Client
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{
			Status: response.Status,
		}
	}
	return nil
}
