package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// answerBytes is the length of the large answers, below the 8 MiB that the product passes on.
	answerBytes = 7_900_000
	// readRate is how many bytes a second a client reads that reads slowly. It has its whole answer after 13.2 s of its 20 s.
	readRate = 600_000
	// readBuffer is the receive buffer of the clients' connections, as small as the windows of the links.
	readBuffer = 32 << 10
	// officeClients share one address, and otherClients have one each.
	officeClients = 20
	otherClients  = 12
	otherDelay    = 2 * time.Second
	receiptTime   = 20 * time.Second
)

// playSlowReaders lets clients fetch large answers on kept connections. With the disruption they read slowly.
func playSlowReaders(r *record, hasTrouble bool) (bool, error) {
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.configure([]string{"records-svc"}, `{"Name":"receipt-fetch","PathPrefix":"/receipts/","Kind":"download","TimeoutS":20,
"TargetLatencyS":5,"Service":"records-svc","MaxAttempts":2}`); err != nil {
		return false, err
	}
	for n := range 12 {
		id := fmt.Sprintf("i-records-%d", n)
		address, err := serve(&largeServer{
			id:     id,
			record: r,
		})
		if err != nil {
			return false, err
		}
		f.register(id, "records-svc", "caerdydd-a", address, 9)
	}
	h := f.addHost("edge-caerdydd-a-3", "cymru-south", "caerdydd-a", machine{
		cpuShare:        0.368,
		memoryMegabytes: 397,
		descriptors:     9567,
		linkMegabits:    11,
	})
	if err := f.start(); err != nil {
		return false, err
	}
	c := &receiptClients{
		record: r,
		host:   h,
		isSlow: hasTrouble,
	}
	for n := range officeClients {
		c.ends.Go(func() { c.fetch("127.0.0.2", northKey, fmt.Sprintf("office-%d", n)) })
	}
	time.Sleep(otherDelay)
	for n := range otherClients {
		c.ends.Go(func() { c.fetch(fmt.Sprintf("127.0.1.%d", n+1), southKey, fmt.Sprintf("other-%d", n)) })
	}
	c.ends.Wait()
	r.printf("whole answers %d, answers of the host's own %d, connections closed without a whole answer %d; memory of the host %d MB",
		c.whole.Load(), c.own.Load(), c.closed.Load(), h.residentBytes()/1_000_000)
	// LOST: more than three times.
	return c.closed.Load() > 3, nil
}

// receiptClients are the clients, and what became of their requests.
type receiptClients struct {
	record             *record
	host               *entryHost
	isSlow             bool
	ends               sync.WaitGroup
	whole, own, closed atomic.Int64
}

// fetch sends a short request and then, on the kept connection, one for a large answer.
func (c *receiptClients) fetch(from, key, name string) {
	connection, err := dialSmall(from, c.host.caller)
	if err != nil {
		c.record.printf("%s: %v", name, err)
		return
	}
	defer connection.Close()
	var source io.Reader = connection
	if c.isSlow {
		source = &slowReader{
			source: connection,
		}
	}
	reader := bufio.NewReader(source)
	for n, size := range []int{100, answerBytes} {
		id := fmt.Sprintf("%s-%d", name, n)
		_, _ = io.WriteString(connection, head(http.MethodGet, fmt.Sprintf("/receipts/%s?bytes=%d", name, size), id, key, receiptTime)+"\r\n")
		sentAt := time.Now()
		c.record.printf("%s: sent by %s", id, from)
		status, received, err := readAnswer(reader)
		waited := time.Since(sentAt)
		switch {
		case err != nil && waited < receiptTime:
			c.closed.Add(1)
			c.record.printf("%s: status %d, the connection ends after %d of %d bytes, %.1f s after it was sent: %v", id, status, received, size, waited.Seconds(), err)
			return
		case err != nil:
			c.record.printf("%s: its time is over: %v", id, err)
			return
		case status == http.StatusOK:
			c.whole.Add(1)
		default:
			c.own.Add(1)
		}
		c.record.printf("%s: status %d, whole, %d bytes, after %.1f s", id, status, received, waited.Seconds())
	}
}

// readAnswer reads an answer and returns its status and the bytes of its body.
func readAnswer(reader *bufio.Reader) (status int, received int64, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	received, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, received, err
}

// dialSmall opens a connection from a loopback address, with a small receive buffer.
func dialSmall(from, to string) (net.Conn, error) {
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(from),
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// Without it the connection only buffers more.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
			})
		},
	}
	return dialer.Dial("tcp", to)
}

// slowReader reads at most readRate bytes a second.
type slowReader struct {
	source    io.Reader
	startedAt time.Time
	total     int64
}

func (s *slowReader) Read(b []byte) (int, error) {
	if s.startedAt.IsZero() {
		s.startedAt = time.Now()
	}
	n, err := s.source.Read(b)
	s.total += int64(n)
	due := time.Duration(s.total * int64(time.Second) / readRate)
	// Time in which nothing arrived is not made up for.
	if behind := time.Since(s.startedAt) - due; behind > 0 {
		s.startedAt = s.startedAt.Add(behind)
	} else {
		time.Sleep(-behind)
	}
	return n, err
}

// largeServer answers with as many bytes as the query says, and states their number.
type largeServer struct {
	id     string
	record *record
}

func (l *largeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Target-Instance") != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	w.Header().Set("X-Response-Seal", "seal-of-"+l.id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	piece := make([]byte, 64<<10)
	for rest := size; rest > 0; {
		n, err := w.Write(piece[:min(rest, len(piece))])
		if err != nil {
			l.record.printf("%s runs %s: its connection ends with %d bytes left", l.id, id, rest)
			return
		}
		rest -= n
	}
	l.record.printf("%s runs %s, answers %d bytes", l.id, id, size)
}
