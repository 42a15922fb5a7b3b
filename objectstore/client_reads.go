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
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (VersionedObjects, error) {
	var changes VersionedObjects
	query := url.Values{}
	query.Set("prefix", prefix)
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait", wait.String())
	err := c.read(ctx, prefix, WatchPath, query, wait, &changes)
	return changes, err
}

// Machines implements [Directory].
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var body rawBody
	if err := c.read(ctx, "", MachinesPath, nil, 0, &body); err != nil {
		return nil, err
	}
	return decodeMachines(body.content)
}

// read makes one call and decodes the response into result. Without a valid
// response it returns an [UnavailableError].
func (c *Client) read(ctx context.Context, key, path string, query url.Values, wait time.Duration, result any) error {
	ctx, cancel := c.withTimeout(ctx, wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.buildURL(path, query), nil)
	if err != nil {
		return &UnavailableError{
			Key:   key,
			Cause: err,
		}
	}
	err = c.send(request, key, result)
	if invalid, ok := err.(*noValidResponseError); ok {
		return &UnavailableError{
			Key:   key,
			Cause: invalid.Cause,
		}
	}
	return err
}
