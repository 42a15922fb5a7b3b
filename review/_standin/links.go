package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// Links are one host's links to all servers, which can be cut. The host reads the store by way of
// them, and finds there the addresses of proxies in place of the servers'.
type Links struct {
	store   *Store
	proxies []*proxy
}

// proxy is the link to one server.
type proxy struct {
	address string
	server  string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

// newLinks returns the links to the servers, and the address at which the host reads the store.
func newLinks(store *Store, servers []*Server) (*Links, string) {
	l := &Links{store: store}
	for _, s := range servers {
		p := &proxy{
			address: freeAddress(),
			server:  s.address,
			conns:   make(map[*net.TCPConn]bool),
		}
		p.open()
		l.proxies = append(l.proxies, p)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err.Error())
	}
	go func() { _ = http.Serve(listener, l) }()
	return l, listener.Addr().String()
}

// ServeHTTP answers a call of the host to the store.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	l.store.ServeHTTP(recorder, r)
	content := recorder.Body.Bytes()
	for _, p := range l.proxies {
		content = bytes.ReplaceAll(content, []byte(`"`+p.server+`"`), []byte(`"`+p.address+`"`))
	}
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(content)
}

// Cut resets all connections and refuses new ones until the links are opened again.
func (l *Links) Cut() {
	for _, p := range l.proxies {
		p.mu.Lock()
		_ = p.listener.Close()
		for conn := range p.conns {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
		p.mu.Unlock()
	}
}

// Open opens the links again.
func (l *Links) Open() {
	for _, p := range l.proxies {
		p.open()
	}
}

func (p *proxy) open() {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		fail(err.Error())
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
}

// forward connects both sides until one of them ends.
func (p *proxy) forward(near *net.TCPConn) {
	defer near.Close()
	conn, err := net.Dial("tcp", p.server)
	if err != nil {
		return
	}
	far := conn.(*net.TCPConn)
	defer far.Close()
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	pass := func(to, from *net.TCPConn) {
		_, _ = io.Copy(to, from)
		ended <- struct{}{}
	}
	go pass(near, far)
	go pass(far, near)
	<-ended
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}
