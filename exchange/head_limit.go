package exchange

import (
	"bytes"
	"fmt"
)

// maxHeadLines limits the lines of the head of a response, together with those of interim responses before it. Once it is parsed, a short
// line takes many times its bytes.
const maxHeadLines = 1000

// HeadTooLongError reports a response whose head has more lines or bytes than are read.
type HeadTooLongError struct {
	Lines int
	Bytes int
}

func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the head of the response was dropped after %d lines of %d bytes", e.Lines, e.Bytes)
}

// statusLength is the length of the part of a status line that tells an interim response from others, as "HTTP/1.1 1".
const statusLength = len("HTTP/1.1 1")

// headCounter counts the lines and bytes of the heads of a response, up to the end of the final one. The transport limits the bytes of
// each head, but not those of all interim responses. The zero value is at the start of a response.
type headCounter struct {
	lines int
	bytes int
	// status is the start of the status line of the current head.
	status []byte
	// hasStatus is true once the status line has ended, lineBytes is the length of the current line without its end, and isOver is
	// true once the final head has ended.
	hasStatus bool
	lineBytes int
	isOver    bool
}

// count counts the lines in bytes that were read. It returns a [HeadTooLongError] if there are too many of either.
func (h *headCounter) count(p []byte) error {
	for len(p) > 0 && !h.isOver {
		line, rest, hasEnd := bytes.Cut(p, []byte("\n"))
		h.bytes += len(p) - len(rest)
		h.addToLine(line)
		if hasEnd {
			h.endLine()
		}
		if h.lines > maxHeadLines || h.bytes > maxResponseHeaderSize {
			return &HeadTooLongError{
				Lines: h.lines,
				Bytes: h.bytes,
			}
		}
		p = rest
	}
	return nil
}

func (h *headCounter) addToLine(p []byte) {
	if !h.hasStatus {
		missing := min(statusLength-len(h.status), len(p))
		h.status = append(h.status, p[:missing]...)
	}
	h.lineBytes += len(bytes.TrimSuffix(p, []byte("\r")))
}

func (h *headCounter) endLine() {
	h.lines++
	isEmpty := h.lineBytes == 0
	h.lineBytes = 0
	if !isEmpty {
		h.hasStatus = true
		return
	}
	h.isOver = !h.isInterim()
	h.status, h.hasStatus = h.status[:0], false
}

// isInterim reports whether another head follows the current one.
func (h *headCounter) isInterim() bool {
	return h.hasStatus && len(h.status) == statusLength && h.status[statusLength-1] == '1'
}
