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

// MaxKeyLength is the maximum length of an idempotency key, in bytes.
const MaxKeyLength = 255

// DefaultClaimPrefix is the default prefix of the object keys of claims.
const DefaultClaimPrefix = "claim/"

// IdempotencyKeys admits requests by idempotency keys, which callers choose
// themselves. It stores one claim per key in the object store. Each request
// costs one conditional create, and one update once its result is known.
type IdempotencyKeys struct {
	Store objectstore.Store
	// Prefix starts the object keys of claims; [DefaultClaimPrefix] if empty.
	Prefix string
	// Clock returns the time that claims are stamped with; [time.Now] if nil.
	Clock func() time.Time
}

// claim is the stored record of an idempotency key that was used.
type claim struct {
	// Token is unique for each call of Admit. It shows whether a create whose
	// reply was lost took effect.
	Token  string    `json:"token"`
	Result string    `json:"result"`
	At     time.Time `json:"at"`
}

// AdmittedByKey is the [Decision] that a request with an idempotency key may run.
// Call RecordResult when its result is known.
type AdmittedByKey struct {
	keys      *IdempotencyKeys
	objectKey string
	claim     claim
	version   objectstore.Version
}

func (*AdmittedByKey) decision() {}

// Admit decides whether a team's request with an idempotency key may run. It
// returns [*AdmittedByKey] if the request may run and [Duplicate] if the team used
// the key before. Different teams can use the same key independently.
//
// On an error the request must not run. A [KeyLengthError] rejects the key. A
// [KeyStateUnknownError] means that the store could not tell whether the key
// was used.
func (k *IdempotencyKeys) Admit(ctx context.Context, team, key string) (Decision, error) {
	if len(key) == 0 || len(key) > MaxKeyLength {
		return nil, &KeyLengthError{
			Length: len(key),
		}
	}
	admitted := &AdmittedByKey{
		keys:      k,
		objectKey: k.objectKey(team, key),
		claim: claim{
			Token:  uuid.NewString(),
			Result: Running.String(),
			At:     k.now(),
		},
	}
	version, err := k.put(ctx, admitted.objectKey, admitted.claim, objectstore.IfAbsent{})
	if err == nil {
		admitted.version = version
		return admitted, nil
	}
	return k.resolveCreate(ctx, admitted, err)
}

// resolveCreate decides after a create that failed. If the claim may exist, it
// reads the claim and compares its token.
func (k *IdempotencyKeys) resolveCreate(ctx context.Context, admitted *AdmittedByKey, cause error) (Decision, error) {
	var conflict *objectstore.ConflictError
	var unknown *objectstore.UnknownOutcomeError
	if !errors.As(cause, &conflict) && !errors.As(cause, &unknown) {
		return nil, &KeyStateUnknownError{
			Cause: cause,
		}
	}
	object, err := k.Store.Get(ctx, admitted.objectKey)
	if err != nil {
		return nil, &KeyStateUnknownError{
			Cause: err,
		}
	}
	var stored claim
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return nil, &KeyStateUnknownError{
			Cause: err,
		}
	}
	if stored.Token == admitted.claim.Token {
		admitted.version = object.Version
		return admitted, nil
	}
	return Duplicate{
		Result: parseResult(stored.Result),
	}, nil
}

// RecordResult stores the result of the request. If the request did not run, it
// deletes the claim, so that the key can be used again. If the write fails,
// later requests with the key are treated as duplicates of a running request
// and do not run.
func (c *AdmittedByKey) RecordResult(ctx context.Context, result Result) error {
	condition := objectstore.IfVersion{
		Version: c.version,
	}
	if result == NotRun {
		return c.keys.Store.Delete(ctx, c.objectKey, condition)
	}
	c.claim.Result = result.String()
	_, err := c.keys.put(ctx, c.objectKey, c.claim, condition)
	return err
}

// DeleteClaimsOlderThan deletes the claims that are older than maxAge or that can't be
// decoded, and returns how many it deleted. It lists all claims, so only one
// host should call it, and only occasionally. It stops at the first error of
// the store.
func (k *IdempotencyKeys) DeleteClaimsOlderThan(ctx context.Context, maxAge time.Duration) (int, error) {
	objects, err := k.Store.List(ctx, k.prefix())
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, o := range objects {
		var stored claim
		if json.Unmarshal(o.Value, &stored) == nil && k.now().Sub(stored.At) <= maxAge {
			continue
		}
		condition := objectstore.IfVersion{
			Version: o.Version,
		}
		if err := k.Store.Delete(ctx, o.Key, condition); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

func (k *IdempotencyKeys) put(ctx context.Context, objectKey string, value claim, condition objectstore.Condition) (objectstore.Version, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return k.Store.Put(ctx, objectKey, encoded, condition)
}

// RequestIDForKey returns an ID for the requests of a team with an idempotency
// key. The ID is a hash, so it reveals neither the team nor the key.
func RequestIDForKey(team, key string) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(team))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return hex.EncodeToString(hash.Sum(nil))
}

func (k *IdempotencyKeys) objectKey(team, key string) string {
	return k.prefix() + RequestIDForKey(team, key)
}

func (k *IdempotencyKeys) prefix() string {
	if k.Prefix == "" {
		return DefaultClaimPrefix
	}
	return k.Prefix
}

func (k *IdempotencyKeys) now() time.Time {
	if k.Clock == nil {
		return time.Now()
	}
	return k.Clock()
}

// parseResult parses a stored result. It returns Unknown for an unrecognized
// text.
func parseResult(text string) Result {
	for _, result := range []Result{Running, Responded, NotRun} {
		if result.String() == text {
			return result
		}
	}
	return Unknown
}
