package endpt

import (
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of the body's length and its first ReplayLimit bytes; a
// shorter body is hashed whole. It reads these bytes from the source, but the
// body stays replayable. It returns the source's error.
func (b *Body) Digest() (uint64, error) {
	r, err := b.newReader()
	if err != nil {
		return 0, err
	}
	defer r.Close()
	var d xxhash.Digest
	d.Reset()
	fmt.Fprintf(&d, "%d ", b.length)
	buf := make([]byte, minPooledLength)
	for r.pos < ReplayLimit {
		n, err := r.Read(buf)
		_, _ = d.Write(buf[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, fmt.Errorf("read body: %w", err)
		}
	}
	return d.Sum64(), nil
}
