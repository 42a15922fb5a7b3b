// Command review-standin-2 plays the cases of the second review. See the run.sh of each case.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE ROOT FOLDER")
		os.Exit(noRun)
	}
	play, isKnown := map[string]func(*record, string, bool) (int, error){
		"endless": playEndless,
		"replace": playReplace,
		"target":  playTarget,
		"storm":   playStorm,
	}[os.Args[1]]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(noRun)
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	hasTrouble := os.Getenv("TROUBLE") != "0"
	status, err := play(r, os.Args[2], hasTrouble)
	if err != nil {
		r.say("the case could not run: %v", err)
		status = noRun
	}
	r.line("exit status %d", status)
	os.Exit(status)
}
