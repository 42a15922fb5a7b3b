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
	var response WriteResponse
	err := c.write(ctx, http.MethodPut, key, value, condition, &response)
	return response.Version, err
}

// Delete implements [Store].
func (c *Client) Delete(ctx context.Context, key string, condition Condition) error {
	var response WriteResponse
	return c.write(ctx, http.MethodDelete, key, nil, condition, &response)
}

// write makes one call and decodes the response into result. Without a valid
// response it returns an [UnavailableError] if it got no connection, so that the write
// was never sent, else an [UnknownOutcomeError].
func (c *Client) write(ctx context.Context, method, key string, value []byte, condition Condition, result *WriteResponse) error {
	ctx, cancel := c.withTimeout(ctx, 0)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, c.buildURL(ObjectsPath+key, nil), bytes.NewReader(value))
	if err != nil {
		return &UnavailableError{
			Key:   key,
			Cause: err,
		}
	}
	setCondition(request.Header, condition)
	err = c.send(request, key, result)
	invalid, ok := err.(*noValidResponseError)
	if !ok {
		return err
	}
	if !connected.Load() {
		return &UnavailableError{
			Key:   key,
			Cause: invalid.Cause,
		}
	}
	return &UnknownOutcomeError{
		Key:   key,
		Cause: invalid.Cause,
	}
}
