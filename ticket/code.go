package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// issued tells whether this incarnation issued the name to the holder or to
// anyone.
func (r *Registry) issued(name Ticket, holder string) bool {
	if name.number >= name.block.count {
		return false
	}
	return r.isCode(name.block, holder) || holder != "" && r.isCode(name.block, "")
}

func (r *Registry) isCode(b block, holder string) bool {
	expected := r.code(b, holder)
	return hmac.Equal(expected[:], b.code[:])
}

// code returns the proof that the block was issued to the holder.
func (r *Registry) code(b block, holder string) code {
	mac := hmac.New(sha256.New, r.Secret[:])
	var fields []byte
	fields = binary.BigEndian.AppendUint64(fields, uint64(b.incarnation))
	fields = binary.BigEndian.AppendUint64(fields, b.serial)
	fields = binary.BigEndian.AppendUint32(fields, b.expiry)
	fields = binary.BigEndian.AppendUint32(fields, b.count)
	_, _ = mac.Write(fields)
	_, _ = mac.Write([]byte(holder))
	return code(mac.Sum(nil)[:codeSize])
}
