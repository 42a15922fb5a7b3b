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
	// KeyPrefix starts the text of every key.
	APIKeyPrefix = "tf1_"
	// SecretSize is the length of a key's secret, in bytes.
	SecretSize = 32
	// APIKeyLength is the length of a key's text, in bytes.
	APIKeyLength = len(APIKeyPrefix) + (SecretSize*8+5)/6
)

// APIKey is what a caller shows to run requests for its team. Its text is shown
// once, by [APIKey.Reveal]; printed or logged in any other way it is hidden.
type APIKey struct {
	secret [SecretSize]byte
}

// NewKey draws a key from the random source; nil means the system's.
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

// ParseAPIKey reads the text of a key. It returns a [NoKeyError] if there is none
// and a [MalformedKeyError] if it cannot be a key; neither repeats the text.
func ParseAPIKey(text string) (APIKey, error) {
	if text == "" {
		return APIKey{}, &NoKeyError{}
	}
	body, found := strings.CutPrefix(text, APIKeyPrefix)
	if !found || len(text) != APIKeyLength || strings.ContainsAny(body, "\r\n") {
		return APIKey{}, &MalformedKeyError{}
	}
	var k APIKey
	if _, err := base64.RawURLEncoding.Strict().Decode(k.secret[:], []byte(body)); err != nil {
		return APIKey{}, &MalformedKeyError{}
	}
	return k, nil
}

// Reveal returns the text of the key.
func (k APIKey) Reveal() string {
	return APIKeyPrefix + base64.RawURLEncoding.EncodeToString(k.secret[:])
}

// String hides the key.
func (k APIKey) String() string { return APIKeyPrefix + "hidden" }

// Format hides the key from every verb of package fmt.
func (k APIKey) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, k.String())
}

// MarshalText hides the key from encoders.
func (k APIKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// Hash returns what is stored of the key. The secret has 256 random bits, so a
// plain hash cannot be searched.
func (k APIKey) Hash() Hash { return sha256.Sum256(k.secret[:]) }

// Hash is the SHA-256 of a key's secret. It names the key and cannot be used in
// its place.
type Hash [sha256.Size]byte

// ParseHash reads a hash in hexadecimal. It returns a [MalformedHashError].
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

// MarshalText writes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads the hash from hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	read, err := ParseHash(string(text))
	*h = read
	return err
}
