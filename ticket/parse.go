package ticket

import (
	"encoding/base64"
	"net/netip"
	"strconv"
	"strings"
)

// The format of names: host, incarnation, serial, expiry, count, code, number.
const (
	fieldSeparator  = "/"
	fieldCount      = 7
	maxNameLength   = 200
	decimal         = 10
	incarnationBase = 16
)

// Parse reads a name as it is sent, or returns a [SyntaxError]. It does not
// tell whether the name was ever issued.
func Parse(text string) (Ticket, error) {
	if len(text) > maxNameLength {
		return Ticket{}, wrong(text[:maxNameLength], "length", "at most 200 bytes")
	}
	fields := strings.Split(text, fieldSeparator)
	if len(fields) != fieldCount {
		return Ticket{}, wrong(text, "fields", "seven, separated by slashes")
	}
	p := &parser{
		text: text,
	}
	name := Ticket{
		block: block{
			host:        p.host(fields[0]),
			incarnation: Incarnation(p.number("incarnation", fields[1], incarnationBase, 64)),
			serial:      p.number("serial", fields[2], decimal, 64),
			expiry:      uint32(p.number("expiry", fields[3], decimal, 32)),
			count:       uint32(p.number("count", fields[4], decimal, 32)),
			code:        p.code(fields[5]),
		},
		number: uint32(p.number("number", fields[6], decimal, 32)),
	}
	if p.err == nil && name.String() != text {
		// One name must have one spelling.
		p.fail("spelling", name.String())
	}
	if p.err != nil {
		return Ticket{}, p.err
	}
	return name, nil
}

// parser keeps the first error.
type parser struct {
	text string
	err  error
}

func (p *parser) fail(field, accepted string) {
	if p.err == nil {
		p.err = wrong(p.text, field, accepted)
	}
}

func (p *parser) host(text string) netip.AddrPort {
	host, err := netip.ParseAddrPort(text)
	if err != nil {
		p.fail("host", "an IP address and a port")
	}
	return host
}

func (p *parser) number(field, text string, base, bits int) uint64 {
	number, err := strconv.ParseUint(text, base, bits)
	if err != nil {
		p.fail(field, "a number of "+strconv.Itoa(bits)+" bits")
	}
	return number
}

func (p *parser) code(text string) code {
	var c code
	bytes, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(bytes) != codeSize {
		p.fail("code", "16 bytes in base64url")
		return c
	}
	copy(c[:], bytes)
	return c
}

func wrong(text, field, accepted string) error {
	return &SyntaxError{
		Text:     text,
		Field:    field,
		Accepted: accepted,
	}
}
