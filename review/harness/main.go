package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case. trouble is false for the same run without the disruption. It reports whether the rule was
// broken, or an error if the case could not run.
type caseFunc func(r *run, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() { os.Exit(mainCode()) }

func mainCode() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE REPOSITORY RECORD")
		return exitNotRun
	}
	repository, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	r, err := newRun(repository, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, disruption %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		record.note("result: the rule is broken")
		fmt.Println("the rule is broken")
		return exitBroken
	}
	record.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// waitFor polls until ok returns true, or returns an error after limit.
func waitFor(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("%s did not happen within %v", what, limit)
}
