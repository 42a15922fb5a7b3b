package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// isIssuedTo reports whether this incarnation issued the ticket to the team or
// for use by any caller.
func (r *Registry) isIssuedTo(t Ticket, team string) bool {
	if t.number >= t.issued.count {
		return false
	}
	return r.hasValidAuthCode(t.issued, team) || team != "" && r.hasValidAuthCode(t.issued, "")
}

func (r *Registry) hasValidAuthCode(issued issuedRange, team string) bool {
	expected := r.computeAuthCode(issued, team)
	return hmac.Equal(expected[:], issued.authCode[:])
}

// computeAuthCode returns the HMAC that proves that the range was issued to the
// team. It covers the incarnation, but not the host.
func (r *Registry) computeAuthCode(issued issuedRange, team string) authCode {
	mac := hmac.New(sha256.New, r.Secret[:])
	var fields []byte
	fields = binary.BigEndian.AppendUint64(fields, uint64(issued.incarnation))
	fields = binary.BigEndian.AppendUint64(fields, issued.serial)
	fields = binary.BigEndian.AppendUint32(fields, issued.expiry)
	fields = binary.BigEndian.AppendUint32(fields, issued.count)
	_, _ = mac.Write(fields)
	_, _ = mac.Write([]byte(team))
	return authCode(mac.Sum(nil)[:authCodeSize])
}
