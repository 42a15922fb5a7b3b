package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Paths that control the stand-in; the platform does not have them.
const (
	// FaultsPath accepts a POST with a [FaultsMessage] that replaces the
	// simulated faults.
	FaultsPath = "/stand-in/faults"
	// MachinesControlPath, followed by a machine's name, accepts a PUT with an
	// [objectstore.Machine], and a DELETE.
	MachinesControlPath = "/stand-in/machines/"
	// CallsPath answers a GET with the number of calls received so far.
	CallsPath = "/stand-in/calls"
)

// maxWatchWait is the longest wait that a watch may ask for.
const maxWatchWait = time.Minute

// Server serves a [Memory] over HTTP. Memory must be set.
type Server struct {
	Memory *Memory

	once sync.Once
	mux  *http.ServeMux
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.registerRoutes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) registerRoutes() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET "+objectstore.ObjectsPath+"{key...}", s.get)
	s.mux.HandleFunc("PUT "+objectstore.ObjectsPath+"{key...}", s.put)
	s.mux.HandleFunc("DELETE "+objectstore.ObjectsPath+"{key...}", s.remove)
	s.mux.HandleFunc("GET "+objectstore.ListPath, s.list)
	s.mux.HandleFunc("GET "+objectstore.WatchPath, s.watch)
	s.mux.HandleFunc("GET "+objectstore.MachinesPath, s.machines)
	s.mux.HandleFunc("POST "+FaultsPath, s.setFaults)
	s.mux.HandleFunc("PUT "+MachinesControlPath+"{name}", s.register)
	s.mux.HandleFunc("DELETE "+MachinesControlPath+"{name}", s.unregister)
	s.mux.HandleFunc("GET "+CallsPath, s.calls)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.Memory.Get(r.Context(), r.PathValue("key"))
	writeResult(w, object, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	condition, err := parseCondition(r.Header, key)
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueSize+1))
	if err != nil {
		writeResult(w, nil, badRequestError(key, "the body cannot be read"))
		return
	}
	version, err := s.Memory.Put(r.Context(), key, value, condition)
	writeResult(w, objectstore.WriteResponse{
		Version: version,
	}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	condition, err := parseCondition(r.Header, key)
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	writeResult(w, objectstore.WriteResponse{}, s.Memory.Delete(r.Context(), key, condition))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.Memory.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, objectstore.ObjectList{
		Objects: objects,
	}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeResult(w, nil, badRequestError(prefix, "after is not a version number: "+query.Get("after")))
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		writeResult(w, nil, badRequestError(prefix, "wait is not a duration from 0s to "+maxWatchWait.String()))
		return
	}
	changes, err := s.Memory.Watch(r.Context(), prefix, objectstore.Version(after), wait)
	writeResult(w, changes, err)
}

func (s *Server) machines(w http.ResponseWriter, r *http.Request) {
	machines, err := s.Memory.Machines(r.Context())
	writeResult(w, objectstore.MachineList{
		Machines: machines,
	}, err)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var message FaultsMessage
	if !decodeBody(w, r, &message) {
		return
	}
	faults, err := message.Parse()
	if err == nil {
		s.Memory.SetFaults(faults)
	}
	writeResult(w, message, err)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var machine objectstore.Machine
	if !decodeBody(w, r, &machine) {
		return
	}
	machine.Name = r.PathValue("name")
	s.Memory.RegisterMachine(machine)
	writeResult(w, machine, nil)
}

func (s *Server) unregister(w http.ResponseWriter, r *http.Request) {
	s.Memory.UnregisterMachine(r.PathValue("name"))
	writeResult(w, objectstore.WriteResponse{}, nil)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeResult(w, s.Memory.CallCounts(), nil)
}

// parseCondition reads the condition of a write from the headers If-None-Match
// and If-Match.
func parseCondition(header http.Header, key string) (objectstore.Condition, error) {
	if header.Get("If-None-Match") == "*" {
		return objectstore.IfAbsent{}, nil
	}
	match := header.Get("If-Match")
	if match == "" {
		return objectstore.Always{}, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil {
		return nil, badRequestError(key, "If-Match is not a quoted version number: "+match)
	}
	return objectstore.IfVersion{
		Version: objectstore.Version(version),
	}, nil
}

// decodeBody decodes a JSON body without unknown fields and reports whether it
// succeeded. If not, it has written the error response.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, objectstore.MaxValueSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		writeResult(w, nil, badRequestError(r.URL.Path, err.Error()))
		return false
	}
	return true
}

func badRequestError(key, reason string) error {
	return &objectstore.RefusedError{
		Key:    key,
		Reason: reason,
		Status: http.StatusBadRequest,
	}
}
