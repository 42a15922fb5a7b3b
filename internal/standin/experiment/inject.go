package experiment

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const injectTimeout = 5 * time.Second

// inject puts the plan's faults in force, each at its time.
func (r *Runner) inject(ctx context.Context) {
	for i, f := range r.Plan.Faults {
		if !r.waitUntil(ctx, time.Duration(f.At)) {
			r.tally.RecordFaultFailure(i, &RunEndedError{})
			continue
		}
		if err := r.post(ctx, f); err != nil {
			r.tally.RecordFaultFailure(i, err)
		}
	}
}

func (r *Runner) post(ctx context.Context, f Fault) error {
	bounded, cancel := context.WithTimeout(ctx, injectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, f.Method, f.URL, strings.NewReader(f.Body))
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
