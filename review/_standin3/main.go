// Command review3 plays the cases of the third review that are scripts:
//
//	review3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment it leaves
// the disruption out.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, hasTrouble bool) (bool, error){
	"slow-readers":  playSlowReaders,
	"early-answers": playEarlyAnswers,
	"header-lines":  playHeaderLines,
	"affinity-keys": playAffinityKeys,
	"foreign-entry": playForeignEntry,
}

const arguments = 3

func main() {
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{
		file:  file,
		start: time.Now(),
	}
	isBroken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case isBroken:
		r.printf("the rule was broken")
		os.Exit(1)
	}
	r.printf("the rule held")
}
