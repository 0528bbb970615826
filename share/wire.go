package share

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

var (
	// ErrMessage is returned for a message that can't be decoded, or that holds
	// only changes though the allocator does not know the entry.
	ErrMessage = errors.New("malformed message")
	// ErrOtherHosts is returned for a message that refers to another list of
	// hosts, as happens while a change of the hosts reaches the entries.
	ErrOtherHosts = errors.New("message refers to another list of hosts")
)

// RankBands is the number of bands into which ranks are grouped in a report.
const RankBands = 20

// hashHosts returns a 16-bit hash of a list of hosts. Messages refer to hosts
// by index and carry the hash, so that the receiver can tell that it has the
// same list.
func hashHosts(hosts []Host) uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := range hosts {
		_, _ = d.WriteString(hosts[i].Name)
		_, _ = d.Write([]byte{0, byte(hosts[i].Slots)})
	}
	return d.Sum64() & 0xffff
}

// appendDelta appends the elements of current that differ from last to b as
// pairs of index and value, and updates last.
func appendDelta(b []byte, current, last []uint16) []byte {
	n := uint64(0)
	for i := range current {
		if current[i] != last[i] {
			n++
		}
	}
	b = binary.AppendUvarint(b, n)
	for i := range current {
		if current[i] != last[i] {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendUvarint(b, uint64(current[i]))
			last[i] = current[i]
		}
	}
	return b
}

// readDelta applies the changes written by appendDelta to the given slice and
// returns the rest of the message.
func readDelta(b []byte, to []uint16) ([]byte, error) {
	n, b, err := readUvarint(b)
	for ; err == nil && n > 0; n-- {
		var i, v uint64
		if i, b, err = readUvarint(b); err != nil {
			break
		}
		if v, b, err = readUvarint(b); err != nil {
			break
		}
		if i >= uint64(len(to)) || v > 0xffff {
			return nil, ErrMessage
		}
		to[i] = uint16(v)
	}
	return b, err
}

func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, ErrMessage
	}
	return v, b[n:], nil
}

// appendHeader appends the start of a message: the hash of the list of hosts,
// and whether the rest is relative to all zeros rather than to the previous
// message.
func appendHeader(b []byte, hostsHash uint64, full bool) []byte {
	b = binary.AppendUvarint(b, hostsHash)
	if full {
		return append(b, 1)
	}
	return append(b, 0)
}

// readHeader reads what appendHeader wrote. It returns ErrOtherHosts if the
// message is for another list of hosts.
func readHeader(b []byte, hostsHash uint64) (full bool, rest []byte, err error) {
	got, b, err := readUvarint(b)
	if err != nil || len(b) == 0 {
		return false, nil, ErrMessage
	}
	if got != hostsHash {
		return false, nil, ErrOtherHosts
	}
	return b[0] == 1, b[1:], nil
}
