package team

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
)

const (
	// APIKeyPrefix starts the text of every API key.
	APIKeyPrefix = "tf1_"
	// SecretSize is the length of an API key's secret, in bytes.
	SecretSize = 32
	// APIKeyLength is the length of an API key's text, in bytes.
	APIKeyLength = len(APIKeyPrefix) + (SecretSize*8+5)/6
)

// APIKey authenticates the requests of a team. Only [APIKey.Reveal] returns its
// text. Printing, logging or encoding an APIKey gives a placeholder.
type APIKey struct {
	secret [SecretSize]byte
}

// NewAPIKey generates a key from the random source; nil means the system's. It
// returns a [RandomSourceError] if the source fails.
func NewAPIKey(random io.Reader) (APIKey, error) {
	if random == nil {
		random = rand.Reader
	}
	var k APIKey
	if _, err := io.ReadFull(random, k.secret[:]); err != nil {
		return APIKey{}, &RandomSourceError{
			Cause: err,
		}
	}
	return k, nil
}

// ParseAPIKey parses the text of a key. It returns a [NoKeyError] if the text is
// empty and a [MalformedKeyError] if it cannot be a key; neither repeats the text.
func ParseAPIKey(text string) (APIKey, error) {
	if text == "" {
		return APIKey{}, &NoKeyError{}
	}
	encoded, found := strings.CutPrefix(text, APIKeyPrefix)
	if !found || len(text) != APIKeyLength || strings.ContainsAny(encoded, "\r\n") {
		return APIKey{}, &MalformedKeyError{}
	}
	var k APIKey
	if _, err := base64.RawURLEncoding.Strict().Decode(k.secret[:], []byte(encoded)); err != nil {
		return APIKey{}, &MalformedKeyError{}
	}
	return k, nil
}

// Reveal returns the text of the key.
func (k APIKey) Reveal() string {
	return APIKeyPrefix + base64.RawURLEncoding.EncodeToString(k.secret[:])
}

// String returns a placeholder instead of the text of the key.
func (k APIKey) String() string { return APIKeyPrefix + "hidden" }

// Format writes the placeholder for every verb of package fmt.
func (k APIKey) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, k.String())
}

// MarshalText encodes the placeholder instead of the text of the key.
func (k APIKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Hash returns the hash of the key, which is stored in its place. The secret has
// 256 random bits, so it can't be found from an unsalted hash by trying values.
func (k APIKey) Hash() Hash { return sha256.Sum256(k.secret[:]) }

// Hash is the SHA-256 hash of an API key's secret. It identifies the key and
// cannot be used in its place.
type Hash [sha256.Size]byte

// ParseHash parses a hash in hexadecimal. It returns a [MalformedHashError] if
// the text is not a hash.
func ParseHash(text string) (Hash, error) {
	var h Hash
	if len(text) != hex.EncodedLen(len(h)) {
		return Hash{}, &MalformedHashError{
			Text: text,
		}
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return Hash{}, &MalformedHashError{
			Text: text,
		}
	}
	return h, nil
}

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText decodes a hash in hexadecimal. It returns a [MalformedHashError]
// if the text is not a hash.
func (h *Hash) UnmarshalText(text []byte) error {
	parsed, err := ParseHash(string(text))
	*h = parsed
	return err
}
