package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to the record of a case.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &recorder{start: time.Now(), file: f, w: bufio.NewWriter(f)}
}

// note adds a line with the time since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format, args...)
	r.w.WriteByte('\n')
}

func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
}

// cleanUp ends what a case has started.
var cleanUp = func() {}

// cannotRun ends the program: the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}
