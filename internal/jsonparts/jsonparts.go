/*
Package jsonparts splits a JSON object or array into its members or elements, which may be nested to
any depth and hold numbers of any size. A reader of a list that several writers fill decodes
each part on its own, so that one that it can't decode does not hide the others.

# Usage

	elements, err := jsonparts.Array(content)
	for _, element := range elements {
		if err := json.Unmarshal(element, &value); err != nil {
			// Only this element is lost.
		}
	}
*/
package jsonparts

import (
	"encoding/json"
	"fmt"
)

// UnexpectedTypeError reports content that is not an object or not an array.
type UnexpectedTypeError struct {
	// Want is the first character of what was expected.
	Want json.Delim
}

func (e *UnexpectedTypeError) Error() string {
	return fmt.Sprintf("no value that begins with %q", e.Want)
}

// Object returns the members of a JSON object. Of several of the same name it returns the last.
func Object(content []byte) (map[string]json.RawMessage, error) {
	members := make(map[string]json.RawMessage)
	err := split(content, '{', func(name string, value json.RawMessage) { members[name] = value })
	return members, err
}

// Array returns the elements of a JSON array. There are none if the content is empty or null.
func Array(content []byte) ([]json.RawMessage, error) {
	if len(content) == 0 || string(content) == "null" {
		return nil, nil
	}
	var elements []json.RawMessage
	err := split(content, '[', func(_ string, value json.RawMessage) { elements = append(elements, value) })
	return elements, err
}

// MalformedError reports content that is no JSON, or ends early.
type MalformedError struct {
	// Offset is where the fault was found, in bytes.
	Offset int
}

func (e *MalformedError) Error() string { return fmt.Sprintf("malformed JSON at byte %d", e.Offset) }

// split calls add for each part of an object or an array. Unlike [json.Unmarshal] it does not limit the
// depth and does not convert numbers. It does not check numbers and literals in the parts.
func split(content []byte, open byte, add func(name string, value json.RawMessage)) error {
	s := &scanner{
		content: content,
	}
	if !s.accept(open) {
		return &UnexpectedTypeError{
			Want: json.Delim(open),
		}
	}
	end := closing[open]
	if s.accept(end) {
		return nil
	}
	for {
		name := ""
		if open == '{' {
			quoted, err := s.value()
			if err != nil {
				return err
			}
			if json.Unmarshal(quoted, &name) != nil || !s.accept(':') {
				return s.malformed()
			}
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		add(name, value)
		if s.accept(end) {
			return nil
		}
		if !s.accept(',') {
			return s.malformed()
		}
	}
}
