package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what happened, by the time since its begin.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// note writes a line to the file, and those about the play itself to standard output too.
func (r *record) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.quiet(line)
}

// detail writes a line to the file only.
func (r *record) detail(format string, args ...any) {
	r.quiet(fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
}

func (r *record) quiet(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.WriteString(line + "\n") // close reports a failure
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = r.file.Close()
}
