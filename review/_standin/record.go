package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) *Record {
	file, err := os.Create(path)
	if err != nil {
		fail(err.Error())
	}
	return &Record{
		start: time.Now(),
		file:  file,
		out:   bufio.NewWriter(file),
	}
}

// Add writes a line.
func (r *Record) Add(what string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), what)
	_, _ = r.out.WriteString(line + " " + strings.TrimSuffix(fmt.Sprintln(fields...), "\n") + "\n")
}

// Say writes a line and prints it.
func (r *Record) Say(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	fmt.Println(text)
	r.Add("--", text)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
