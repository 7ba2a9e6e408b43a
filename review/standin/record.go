package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// line writes a line with the time since the start of the case.
func (r *record) line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...)) // close reports the error
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line("case", format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
