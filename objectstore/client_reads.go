package objectstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Get implements [Store].
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var object Object
	err := c.read(ctx, key, ObjectsPath+key, nil, 0, &object)
	return object, err
}

// List implements [Store].
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var list ObjectList
	query := url.Values{}
	query.Set("prefix", prefix)
	err := c.read(ctx, prefix, ListPath, query, 0, &list)
	return list.Objects, err
}

// Watch implements [Store].
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error) {
	var changes Changes
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait", wait.String())
	err := c.read(ctx, prefix, WatchPath, query, wait, &changes)
	return changes, err
}

// Machines implements [Directory].
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var list MachineList
	err := c.read(ctx, "", MachinesPath, nil, 0, &list)
	return list.Machines, err
}

// read calls and decodes the answer into the target.
func (c *Client) read(ctx context.Context, key, path string, query url.Values, wait time.Duration, into any) error {
	ctx, cancel := c.withDeadline(ctx, wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.target(path, query), nil)
	if err != nil {
		return &UnavailableError{
			Key:   key,
			Cause: err,
		}
	}
	err = c.exchange(request, key, into)
	if unanswered, ok := err.(*unansweredError); ok {
		return &UnavailableError{
			Key:   key,
			Cause: unanswered.Cause,
		}
	}
	return err
}
