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
	"bytes"
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

// split calls add for each part of an object or an array. Unlike [json.Unmarshal] it does not limit the
// depth and does not convert numbers.
func split(content []byte, open json.Delim, add func(name string, value json.RawMessage)) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	first, err := decoder.Token()
	if err != nil {
		return err
	}
	if first != open {
		return &UnexpectedTypeError{
			Want: open,
		}
	}
	for decoder.More() {
		name := ""
		if open == '{' {
			token, err := decoder.Token()
			if err != nil {
				return err
			}
			// The names of members are always strings.
			name, _ = token.(string)
		}
		start := decoder.InputOffset()
		if err := skipValue(decoder); err != nil {
			return err
		}
		add(name, bytes.TrimLeft(content[start:decoder.InputOffset()], " \t\r\n:,"))
	}
	_, err = decoder.Token()
	return err
}

// skipValue reads one value of any depth.
func skipValue(decoder *json.Decoder) error {
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}
