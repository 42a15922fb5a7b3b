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

// Paths of the controls that only the stand-in has.
const (
	// FaultsPath takes a POST of the faults to put in force.
	FaultsPath = "/stand-in/faults"
	// MachinesControlPath takes a PUT of a machine, or a DELETE, by name.
	MachinesControlPath = "/stand-in/machines/"
	// CallsPath answers a GET with the calls received so far.
	CallsPath = "/stand-in/calls"
)

// maxWatchWait bounds the wait of one watch.
const maxWatchWait = time.Minute

// Server puts a [Memory] behind HTTP. It works once Memory is set.
type Server struct {
	Memory *Memory

	once sync.Once
	mux  *http.ServeMux
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.route)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) route() {
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
	reply(w, object, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	condition, err := parseCondition(r.Header, key)
	if err != nil {
		reply(w, nil, err)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueSize+1))
	if err != nil {
		reply(w, nil, refused(key, "body can't be read"))
		return
	}
	version, err := s.Memory.Put(r.Context(), key, value, condition)
	reply(w, objectstore.WriteResponse{
		Version: version,
	}, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	condition, err := parseCondition(r.Header, key)
	if err != nil {
		reply(w, nil, err)
		return
	}
	reply(w, objectstore.WriteResponse{}, s.Memory.Delete(r.Context(), key, condition))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.Memory.List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, objectstore.ObjectList{
		Objects: objects,
	}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		reply(w, nil, refused(prefix, "after is not a version number: "+query.Get("after")))
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		reply(w, nil, refused(prefix, "wait is not a duration from 0s to "+maxWatchWait.String()))
		return
	}
	changes, err := s.Memory.Watch(r.Context(), prefix, objectstore.Version(after), wait)
	reply(w, changes, err)
}

func (s *Server) machines(w http.ResponseWriter, r *http.Request) {
	machines, err := s.Memory.Machines(r.Context())
	reply(w, objectstore.MachineList{
		Machines: machines,
	}, err)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var message FaultsMessage
	if !decode(w, r, &message) {
		return
	}
	faults, err := message.Faults()
	if err == nil {
		s.Memory.SetFaults(faults)
	}
	reply(w, message, err)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var machine objectstore.Machine
	if !decode(w, r, &machine) {
		return
	}
	machine.Name = r.PathValue("name")
	s.Memory.Register(machine)
	reply(w, machine, nil)
}

func (s *Server) unregister(w http.ResponseWriter, r *http.Request) {
	s.Memory.Unregister(r.PathValue("name"))
	reply(w, objectstore.WriteResponse{}, nil)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.Memory.Calls(), nil)
}

// parseCondition reads the condition of a write from its header.
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
		return nil, refused(key, "If-Match is not a quoted version number: "+match)
	}
	return objectstore.IfVersion{
		Version: objectstore.Version(version),
	}, nil
}

// decode reads a JSON body strictly, or answers that it can't.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, objectstore.MaxValueSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		reply(w, nil, refused(r.URL.Path, err.Error()))
		return false
	}
	return true
}

func refused(key, reason string) error {
	return &objectstore.RefusedError{
		Key:    key,
		Reason: reason,
		Status: http.StatusBadRequest,
	}
}
