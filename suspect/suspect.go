/*
Package suspect finds the requests that crash the backend servers which run
them, and refuses those before they take down a fleet.

A request is known by its fingerprint, so that it is recognized when its caller
sends it again, to any host. A broken connection to a server that then answers
no more counts as a lost backend server; after two, the request is refused for a
while. Other requests of the same sender go on. A request that is answered is
cleared: backend servers die of other causes too, and a popular request is
running on most of them when they do. Hosts share what they lost, and what is
cleared, as [Report] messages, by whatever
way they talk, in any order and any number of times.

# Usage

	list := &suspect.List{
		Share:   broadcast, // called with each new loss
		Answers: probe,     // whether a server is still there
	}
	if list.Refuses(request) {
		return request.Withhold(retry.Suspected)
	}
	list.Lost(request, server)
	list.Answered(request)

	// On a message from another host:
	list.Add(loss)
*/
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/exchange"
)

// Report says that a backend server broke the connection of a request, or that the
// request was answered since. It is the message that hosts share.
type Report struct {
	Fingerprint Fingerprint    `json:"fingerprint"`
	Server      netip.AddrPort `json:"server"`
	// ObservedAt is when it was lost, or answered, by the clock of the host that saw it.
	ObservedAt time.Time `json:"at"`
	// Cleared tells that the request was answered: its losses until then don't
	// count. There is no server then.
	Cleared bool `json:"cleared,omitempty"`
}

// fingerprintSize is in bytes.
const fingerprintSize = 16

// Fingerprint knows a request by its content.
type Fingerprint [fingerprintSize]byte

// FingerprintError reports a text that is no fingerprint.
type FingerprintError struct {
	Text string
}

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("%q is no fingerprint; accepted are %d hexadecimal digits", e.Text, 2*fingerprintSize)
}

// MarshalText writes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(f[:])), nil
}

// UnmarshalText reads a fingerprint, or returns a [FingerprintError].
func (f *Fingerprint) UnmarshalText(text []byte) error {
	n, err := hex.Decode(f[:], text[:min(len(text), 2*fingerprintSize)])
	if err != nil || n != fingerprintSize || len(text) != 2*fingerprintSize {
		return &FingerprintError{
			Text: string(text),
		}
	}
	return nil
}

// FingerprintOf returns the fingerprint of a request: its caller's key, method, path, query,
// content type and body, or of a long body the length and the start. The host
// that it was sent to tells entry hosts apart and is not part of it.
func FingerprintOf(request *exchange.Request) Fingerprint {
	hash := sha256.New()
	add := func(part []byte) {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	add([]byte(request.APIKey))
	add([]byte(request.Method))
	add([]byte(request.URL.EscapedPath()))
	add([]byte(request.URL.RawQuery))
	add([]byte(request.Header.Get("Content-Type")))
	switch b := request.Body.(type) {
	case *exchange.Bytes:
		add(b.Content)
	case *exchange.Stream:
		add(binary.BigEndian.AppendUint64(nil, uint64(b.Length)))
		add(b.Prefix)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintSize])
}
