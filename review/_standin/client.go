package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes", a.status, a.seal, len(a.body))
}

// isServed reports whether the answer is a server's complete success.
func (a answer) isServed() bool { return a.err == nil && a.status/100 == 2 && a.seal != "" }

var attempts atomic.Uint64

// newAttempt returns the id of a client attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0x9c41d00000000000+attempts.Add(1)) }

// attempt is one client attempt.
type attempt struct {
	id     string
	method string
	path   string
	body   string
	// object is what the request concerns.
	object   int
	deadline time.Duration
	// endSending, if it is positive, is after what time the client closes its sending side. It goes
	// on reading.
	endSending time.Duration
}

// send makes an attempt on a new connection to an entry host.
func (w *world) send(h *Host, a attempt) answer {
	w.record.Add("sent", a.id, a.method, a.path, "to", h.name)
	result := a.exchange(h.entry, w.record)
	w.record.Add("answered", a.id, result)
	return result
}

func (a attempt) exchange(address string, record *Record) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(a.deadline))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nCookie: X-Affinity-Key=%d\r\nConnection: close\r\n",
		a.method, a.path, virtual, a.id, a.deadline.Milliseconds(), key, a.object)
	if a.method != http.MethodGet {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	if _, err := io.WriteString(conn, request+"\r\n"+a.body); err != nil {
		return answer{err: err}
	}
	if a.endSending > 0 {
		timer := time.AfterFunc(a.endSending, func() {
			record.Add("ends sending", a.id)
			_ = conn.(*net.TCPConn).CloseWrite()
		})
		defer timer.Stop()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode,
		seal:   response.Header.Get("X-Response-Seal"),
		body:   string(body),
		err:    err,
	}
}
