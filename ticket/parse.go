package ticket

import (
	"encoding/base64"
	"net/netip"
	"strconv"
	"strings"
)

// The format of a ticket is host/incarnation/serial/expiry/count/code/number.
const (
	fieldSeparator  = "/"
	fieldCount      = 7
	maxTicketLength = 200
	decimal         = 10
	incarnationBase = 16
)

// Parse parses the text form of a ticket, as sent by callers. It returns a
// [SyntaxError] if the text is not a ticket. It does not check whether the
// ticket was ever issued.
func Parse(text string) (Ticket, error) {
	if len(text) > maxTicketLength {
		return Ticket{}, newSyntaxError(text[:maxTicketLength], "length", "at most 200 bytes")
	}
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != fieldCount {
		return Ticket{}, newSyntaxError(text, "fields", "seven, separated by slashes")
	}
	p := &parser{
		text: text,
	}
	t := Ticket{
		issued: issuedRange{
			host:        p.parseHost(fields[0]),
			incarnation: Incarnation(p.parseNumber("incarnation", fields[1], incarnationBase, 64)),
			serial:      p.parseNumber("serial", fields[2], decimal, 64),
			expiry:      uint32(p.parseNumber("expiry", fields[3], decimal, 32)),
			count:       uint32(p.parseNumber("count", fields[4], decimal, 32)),
			authCode:    p.parseAuthCode(fields[5]),
		},
		number: uint32(p.parseNumber("number", fields[6], decimal, 32)),
	}
	if p.err == nil && t.String() != text {
		// Each ticket has exactly one valid text form.
		p.recordError("spelling", t.String())
	}
	if p.err != nil {
		return Ticket{}, p.err
	}
	return t, nil
}

// parser parses the fields of a ticket and keeps the first error.
type parser struct {
	text string
	err  error
}

func (p *parser) recordError(field, accepted string) {
	if p.err == nil {
		p.err = newSyntaxError(p.text, field, accepted)
	}
}

func (p *parser) parseHost(text string) netip.AddrPort {
	host, err := netip.ParseAddrPort(text)
	if err != nil {
		p.recordError("host", "an IP address and a port")
	}
	return host
}

func (p *parser) parseNumber(field, text string, base, bits int) uint64 {
	number, err := strconv.ParseUint(text, base, bits)
	if err != nil {
		p.recordError(field, "an unsigned number of at most "+strconv.Itoa(bits)+" bits")
	}
	return number
}

func (p *parser) parseAuthCode(text string) authCode {
	var code authCode
	bytes, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(bytes) != authCodeSize {
		p.recordError("code", "16 bytes in base64url")
		return code
	}
	copy(code[:], bytes)
	return code
}

func newSyntaxError(text, field, accepted string) error {
	return &SyntaxError{
		Text:     text,
		Field:    field,
		Accepted: accepted,
	}
}
