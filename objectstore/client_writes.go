package objectstore

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Put implements [Store].
func (c *Client) Put(ctx context.Context, key string, value []byte, condition Condition) (Version, error) {
	var written WriteResponse
	err := c.write(ctx, http.MethodPut, key, value, condition, &written)
	return written.Version, err
}

// Delete implements [Store].
func (c *Client) Delete(ctx context.Context, key string, condition Condition) error {
	var written WriteResponse
	return c.write(ctx, http.MethodDelete, key, nil, condition, &written)
}

// write calls once and tells a write that was never sent from one whose
// outcome is unknown.
func (c *Client) write(ctx context.Context, method, key string, value []byte, condition Condition, into *WriteResponse) error {
	ctx, cancel := c.withDeadline(ctx, 0)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.target(ObjectsPath+key, nil), bytes.NewReader(value))
	if err != nil {
		return &UnavailableError{
			Key:   key,
			Cause: err,
		}
	}
	setCondition(request.Header, condition)
	err = c.exchange(request, key, into)
	unanswered, ok := err.(*unansweredError)
	if !ok {
		return err
	}
	if !connected.Load() {
		return &UnavailableError{
			Key:   key,
			Cause: unanswered.Cause,
		}
	}
	return &UnknownOutcomeError{
		Key:   key,
		Cause: unanswered.Cause,
	}
}
