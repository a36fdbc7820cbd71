package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since the beginning.
type record struct {
	begun time.Time
	mu    sync.Mutex // guards file
	file  *os.File
}

// newRecord writes to a file.
func newRecord(path string) (made *record, err error) {
	file, err := os.Create(path)
	return &record{begun: time.Now(), file: file}, err
}

// write adds a line.
func (r *record) write(format string, parts ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, parts...))
}

// now is the time since the beginning.
func (r *record) now() time.Duration { return time.Since(r.begun) }
