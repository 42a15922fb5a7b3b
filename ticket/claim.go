package ticket

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"trefoilline.example/trefoilline/objectstore"
)

// MaxKeyLength is the longest key that a caller may choose, in bytes.
const MaxKeyLength = 255

// DefaultClaimPrefix starts the store's keys of claims.
const DefaultClaimPrefix = "claim/"

// IdempotencyKeys admits requests under keys that callers chose themselves. Each costs a
// conditional create in the store, and an update once its result is known.
type IdempotencyKeys struct {
	Store objectstore.Store
	// Prefix starts the store's keys; [DefaultClaimPrefix] if empty.
	Prefix string
	// Clock dates the claims; [time.Now] if nil.
	Clock func() time.Time
}

// claim is the stored form.
type claim struct {
	// Token tells the admissions apart, so that a write whose reply was lost
	// is recognized.
	Token  string    `json:"token"`
	Result string    `json:"result"`
	At     time.Time `json:"at"`
}

// Claimed lets a request run. Settle tells what came of it.
type AdmittedByKey struct {
	claims  *IdempotencyKeys
	key     string
	claim   claim
	version objectstore.Version
}

func (*AdmittedByKey) decision() {}

// Admit decides on a request of the holder under the key: [*AdmittedByKey] or
// [Duplicate]. A [KeyLengthError] says that the request was refused and a
// [KeyStateUnknownError] that the store can't tell; in both cases it must not run.
func (c *IdempotencyKeys) Admit(ctx context.Context, holder, key string) (Decision, error) {
	if len(key) == 0 || len(key) > MaxKeyLength {
		return nil, &KeyLengthError{
			Length: len(key),
		}
	}
	mine := &AdmittedByKey{
		claims: c,
		key:    c.storeKey(holder, key),
		claim: claim{
			Token:  uuid.NewString(),
			Result: Running.String(),
			At:     c.now(),
		},
	}
	version, err := c.put(ctx, mine.key, mine.claim, objectstore.IfAbsent{})
	if err == nil {
		mine.version = version
		return mine, nil
	}
	return c.resolve(ctx, mine, err)
}

// resolve reads who holds the claim after a create that failed or whose reply
// was lost.
func (c *IdempotencyKeys) resolve(ctx context.Context, mine *AdmittedByKey, cause error) (Decision, error) {
	var conflict *objectstore.ConflictError
	var unknown *objectstore.UnknownOutcomeError
	if !errors.As(cause, &conflict) && !errors.As(cause, &unknown) {
		return nil, &KeyStateUnknownError{
			Cause: cause,
		}
	}
	object, err := c.Store.Get(ctx, mine.key)
	if err != nil {
		return nil, &KeyStateUnknownError{
			Cause: err,
		}
	}
	var held claim
	if err := json.Unmarshal(object.Value, &held); err != nil {
		return nil, &KeyStateUnknownError{
			Cause: err,
		}
	}
	if held.Token == mine.claim.Token {
		mine.version = object.Version
		return mine, nil
	}
	return Duplicate{
		Result: parseResult(held.Result),
	}, nil
}

// RecordResult tells what came of the request. A request that did not run gives its
// key free. If the store can't be written, later requests under the key are
// told that it is running, and don't run.
func (c *AdmittedByKey) RecordResult(ctx context.Context, result Result) error {
	condition := objectstore.IfVersion{
		Version: c.version,
	}
	if result == NotRun {
		return c.claims.Store.Delete(ctx, c.key, condition)
	}
	c.claim.Result = result.String()
	_, err := c.claims.put(ctx, c.key, c.claim, condition)
	return err
}

// DeleteOlderThan deletes the claims that are older than the age, and returns how many.
// It lists all claims, so one host does it, now and then.
func (c *IdempotencyKeys) DeleteClaimsOlderThan(ctx context.Context, age time.Duration) (int, error) {
	objects, err := c.Store.List(ctx, c.prefix())
	if err != nil {
		return 0, err
	}
	swept := 0
	for _, o := range objects {
		var held claim
		if json.Unmarshal(o.Value, &held) == nil && c.now().Sub(held.At) <= age {
			continue
		}
		condition := objectstore.IfVersion{
			Version: o.Version,
		}
		if err := c.Store.Delete(ctx, o.Key, condition); err != nil {
			return swept, err
		}
		swept++
	}
	return swept, nil
}

func (c *IdempotencyKeys) put(ctx context.Context, key string, value claim, condition objectstore.Condition) (objectstore.Version, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return c.Store.Put(ctx, key, encoded, condition)
}

// RequestIDForKey names the requests of a holder under a key, without showing either.
func RequestIDForKey(holder, key string) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(holder))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return hex.EncodeToString(hash.Sum(nil))
}

func (c *IdempotencyKeys) storeKey(holder, key string) string {
	return c.prefix() + RequestIDForKey(holder, key)
}

func (c *IdempotencyKeys) prefix() string {
	if c.Prefix == "" {
		return DefaultClaimPrefix
	}
	return c.Prefix
}

func (c *IdempotencyKeys) now() time.Time {
	if c.Clock == nil {
		return time.Now()
	}
	return c.Clock()
}

// parseResult reads a result, as Unknown if it is not understood.
func parseResult(text string) Result {
	for _, result := range []Result{Running, Responded, NotRun} {
		if result.String() == text {
			return result
		}
	}
	return Unknown
}
