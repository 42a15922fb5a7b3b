package jsonparts

import (
	"bytes"
	"encoding/json"
)

// closing maps the first character of an object or an array to its last one.
var closing = map[byte]byte{
	'{': '}',
	'[': ']',
}

// scanner finds where JSON values end. It reads each byte once and keeps no more than the
// brackets that are open.
type scanner struct {
	content []byte
	offset  int
}

func (s *scanner) malformed() error {
	return &MalformedError{
		Offset: s.offset,
	}
}

// next returns the next character that is no space, zero at the end.
func (s *scanner) next() byte {
	for ; s.offset < len(s.content); s.offset++ {
		switch c := s.content[s.offset]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// accept skips the next character if it is the given one.
func (s *scanner) accept(c byte) bool {
	if s.next() != c {
		return false
	}
	s.offset++
	return true
}

// value returns the next value, of any depth.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start := s.offset
	var open []byte
	for {
		switch c := s.next(); c {
		case '{', '[':
			open = append(open, closing[c])
			s.offset++
		case '}', ']':
			if len(open) == 0 || open[len(open)-1] != c {
				return nil, s.malformed()
			}
			open = open[:len(open)-1]
			s.offset++
		case ',', ':':
			if len(open) == 0 {
				return nil, s.malformed()
			}
			s.offset++
		case '"':
			if !s.skipString() {
				return nil, s.malformed()
			}
		default:
			if !s.skipLiteral() {
				return nil, s.malformed()
			}
		}
		if len(open) == 0 {
			return s.content[start:s.offset], nil
		}
	}
}

// skipString skips a string and reports whether it ends.
func (s *scanner) skipString() bool {
	for end := s.offset + 1; ; {
		length := bytes.IndexByte(s.content[end:], '"')
		if length < 0 {
			s.offset = len(s.content)
			return false
		}
		end += length + 1
		// A quote after an odd number of backslashes is one of the string's characters.
		before := s.content[s.offset+1 : end-1]
		if (len(before)-len(bytes.TrimRight(before, `\`)))%2 == 0 {
			s.offset = end
			return true
		}
	}
}

// skipLiteral skips a number, true, false or null, and reports whether there is one.
func (s *scanner) skipLiteral() bool {
	rest := s.content[s.offset:]
	length := bytes.IndexAny(rest, " \t\r\n,:{}[]\"")
	if length < 0 {
		length = len(rest)
	}
	s.offset += length
	return length > 0
}
