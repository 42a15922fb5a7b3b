package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store, by its published protocol: lists, watches, and
// writes with and without a revision. Its responses are linearizable, and it loses nothing.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]*object
	revision uint64
	events   []event
	wake     chan struct{}
	// down makes the store answer 503 to every call: nothing was done.
	down bool
}

type metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type event struct {
	Deleted bool
	Object  object
	kind    string
}

func newStore() *Store {
	return &Store{
		objects: make(map[string]map[string]*object),
		wake:    make(chan struct{}),
	}
}

// SetDown takes the store down, or brings it back.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeAll()
}

// Put writes an object as an operator or a server does.
func (s *Store) Put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, content)
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names(kind, "")
}

// Spec returns the content of an object; nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

// Remove removes an object, if there is one.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) names(kind, after string) []string {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o := s.objects[kind][name]
	if o != nil && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	replaced := &object{
		Metadata: metadata{
			Name:       name,
			Revision:   s.revision,
			Created:    s.revision,
			Finalizers: []string{},
		},
		Spec: spec,
	}
	if o != nil {
		replaced.Metadata.Created, replaced.Status = o.Metadata.Created, o.Status
	}
	s.objects[kind][name] = replaced
	s.record(kind, *replaced, false)
	return replaced
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	removed := *o
	removed.Metadata.Revision = s.revision
	s.record(kind, removed, true)
}

func (s *Store) record(kind string, o object, deleted bool) {
	s.events = append(s.events, event{
		Deleted: deleted,
		Object:  o,
		kind:    kind,
	})
	s.wakeAll()
}

func (s *Store) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

const objectsPath = "/trefoilline/objects/"

// ServeHTTP serves the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if r.URL.Query().Has("Watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		if o := s.objects[kind][name]; o != nil {
			respond(w, http.StatusOK, o)
			return
		}
		respond(w, http.StatusNotFound, struct{}{})
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const page = 500
	names := s.names(kind, r.URL.Query().Get("after"))
	items := []*object{}
	for _, name := range names[:min(page, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	respond(w, http.StatusOK, map[string]any{
		"items":      items,
		"HasMore":    len(names) > page,
		"CurrentRev": s.revision,
	})
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var received object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&received); err != nil {
			respond(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	if r.Method == http.MethodPost {
		name = received.Metadata.Name
	}
	expected := received.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	current := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && current != nil, current != nil && expected != 0 && expected != current.Metadata.Revision:
		respond(w, http.StatusConflict, current)
	case r.Method != http.MethodPost && current == nil:
		respond(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		respond(w, http.StatusOK, current)
	default:
		respond(w, http.StatusOK, s.put(kind, name, received.Spec))
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				found = append(found, e)
			}
		}
		revision, wake := s.revision, s.wake
		s.mu.Unlock()
		if len(found) > 0 || isOver {
			respond(w, http.StatusOK, map[string]any{
				"events":     found,
				"CurrentRev": revision,
			})
			return
		}
		select {
		case <-wake:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
