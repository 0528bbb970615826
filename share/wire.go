package share

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

var (
	// ErrMessage is returned for a message that does not decode.
	ErrMessage = errors.New("malformed message")
	// ErrOtherHosts is returned for a message about another list of hosts, as happens
	// while a placement spreads.
	ErrOtherHosts = errors.New("message about other hosts")
)

// RankBands is the number of groups of ranks in a report.
const RankBands = 20

// fingerprint tells lists of hosts apart in messages that number hosts.
func fingerprint(hosts []Host) uint64 {
	var d xxhash.Digest
	d.Reset()
	for i := range hosts {
		_, _ = d.WriteString(hosts[i].Name)
		_, _ = d.Write([]byte{0, byte(hosts[i].Slots)})
	}
	return d.Sum64() & 0xffff
}

// appendDelta writes the elements of now that differ from last as pairs of
// index and value, and updates last.
func appendDelta(b []byte, now, last []uint16) []byte {
	n := uint64(0)
	for i := range now {
		if now[i] != last[i] {
			n++
		}
	}
	b = binary.AppendUvarint(b, n)
	for i := range now {
		if now[i] != last[i] {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendUvarint(b, uint64(now[i]))
			last[i] = now[i]
		}
	}
	return b
}

// readDelta applies what appendDelta wrote and returns the rest of the message.
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

// header starts a message: the fingerprint of the hosts, and whether the rest
// is relative to an empty state rather than to the message before.
func header(b []byte, hosts uint64, full bool) []byte {
	b = binary.AppendUvarint(b, hosts)
	if full {
		return append(b, 1)
	}
	return append(b, 0)
}

func readHeader(b []byte, hosts uint64) (full bool, rest []byte, err error) {
	got, b, err := readUvarint(b)
	if err != nil || len(b) == 0 {
		return false, nil, ErrMessage
	}
	if got != hosts {
		return false, nil, ErrOtherHosts
	}
	return b[0] == 1, b[1:], nil
}
