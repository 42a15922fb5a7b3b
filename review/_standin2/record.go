package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes down what happens.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes the line to the output too.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.line(format, args...)
}
