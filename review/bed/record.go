// Package bed is a small deployment on loopback addresses for the cases of the review: the
// project's program in processes of its own, and stand-ins for the platform, the workers and
// the clients.
package bed

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run.
type Record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{begun: time.Now(), file: f}, nil
}

// Since returns the time since the record was begun.
func (r *Record) Since() time.Duration { return time.Since(r.begun) }

// Add adds a line with the time since the record was begun.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...)) // the result doesn't depend on the record
}

// Close closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
