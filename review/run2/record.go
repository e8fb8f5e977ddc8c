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

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns the seconds from the start of the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) close() { _ = r.file.Close() }
