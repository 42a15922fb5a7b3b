/*
Package crashdetect detects requests that crash the backend servers which run them, and rejects
such requests before they crash many servers. An entry host asks its [Detector] before
it sends a request to a backend server, and tells it when a backend server breaks the
connection or the request gets a response.

A request is identified by its [Fingerprint], so that every host recognizes it when a caller
sends it again. If a backend server breaks the connection and then accepts no new one, though others
near it do, the detector assumes that the request crashed the server. After two crashes the request is
rejected for a while; other requests of the same caller are not affected. A request that
gets a response is cleared, because backend servers also crash for other reasons, and a frequent
request is likely to be running on any server that crashes. A crash no longer counts if the host
then finds that its links have failed. Hosts exchange crashes and
clearances as [Report] messages, which may arrive by any transport, in any order and any
number of times.

# Usage

	detector := &crashdetect.Detector{
		Broadcast:   broadcast,   // sends each new report to the other hosts
		IsReachable: isReachable, // whether a server accepts a new connection
		HasContact:  hasContact,  // whether other servers near it do
		HasLostContact: hasLostContact, // whether, some time later, no others do
	}
	if detector.ShouldReject(request) {
		return request.Reject(retry.RequestCrashesServers)
	}
	// When the server breaks the connection of the request:
	detector.RecordBrokenConnection(request, server)
	// When the request got a response:
	detector.RecordResponse(request)
	// When a report arrives from another host:
	detector.AddReport(report)
*/
package crashdetect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/exchange"
)

// Report is the message that hosts exchange about a request. There are two kinds: a crash
// report says that a backend server crashed while it ran the request, and a clearance
// says that the request got a response, or that a server did not crash after all.
type Report struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Server is the address of the server that crashed. In a clearance it is that of the one which did
	// not; if it is not set, the clearance applies to all servers.
	Server netip.AddrPort `json:"server"`
	// ObservedAt is the time of the crash or the response, by the clock of the host that
	// observed it.
	ObservedAt time.Time `json:"at"`
	// Cleared is true in a clearance. Crashes up to its time no longer count against the
	// request.
	Cleared bool `json:"cleared,omitempty"`
}

// fingerprintSize is the size of a fingerprint in bytes.
const fingerprintSize = 16

// Fingerprint identifies a request by its content.
type Fingerprint [fingerprintSize]byte

// FingerprintError reports a text that is not a valid fingerprint.
type FingerprintError struct {
	Text string
}

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("invalid fingerprint %q: must be %d hexadecimal digits", e.Text, 2*fingerprintSize)
}

// MarshalText returns the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(f[:])), nil
}

// UnmarshalText parses a fingerprint in hexadecimal. For any other text it returns a
// [*FingerprintError].
func (f *Fingerprint) UnmarshalText(text []byte) error {
	n, err := hex.Decode(f[:], text[:min(len(text), 2*fingerprintSize)])
	if err != nil || n != fingerprintSize || len(text) != 2*fingerprintSize {
		return &FingerprintError{
			Text: string(text),
		}
	}
	return nil
}

// FingerprintOf returns the fingerprint of a request: a hash of its API key, method, path,
// query, content type and body. Of a body that is not in memory as a whole, it includes the
// length and the beginning. The host name is not included, because the same request
// may reach entry hosts under different names.
func FingerprintOf(request *exchange.Request) Fingerprint {
	hash := sha256.New()
	addLength := func(length int64) { _, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(length))) }
	add := func(part []byte) {
		addLength(int64(len(part)))
		_, _ = hash.Write(part)
	}
	add([]byte(request.APIKey))
	add([]byte(request.Method))
	add([]byte(request.URL.EscapedPath()))
	add([]byte(request.URL.RawQuery))
	add([]byte(request.Header.Get("Content-Type")))
	switch b := request.Body.(type) {
	case *exchange.Bytes:
		// The same whether the body is in pieces or not.
		addLength(b.Length())
		_, _ = hash.Write(b.Content)
		for _, piece := range b.More {
			_, _ = hash.Write(piece)
		}
	case *exchange.Stream:
		add(binary.BigEndian.AppendUint64(nil, uint64(b.Length)))
		add(b.Prefix)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintSize])
}
