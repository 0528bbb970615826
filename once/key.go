package once

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxKey is the longest Idempotency-Key, in bytes.
const MaxKey = 255

// ParseKey returns the key in an Idempotency-Key header: a quoted string of
// printable ASCII as in the IETF draft, or the same without quotes and spaces,
// of 1 to MaxKey bytes. Anything else is ErrKey.
func ParseKey(header string) (string, error) {
	key := strings.Trim(header, " \t")
	var err error
	if strings.HasPrefix(key, `"`) {
		key, err = unquote(key)
	} else if i := strings.IndexAny(key, ` ",;`); i >= 0 {
		err = fmt.Errorf("%w: byte %q outside quotes", ErrKey, key[i])
	}
	if err != nil {
		return "", err
	}
	return key, CheckKey(key)
}

// unquote parses a quoted string of RFC 8941 without parameters.
func unquote(s string) (string, error) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch {
		case s[i] == '"' && i == len(s)-1:
			return b.String(), nil
		case s[i] == '"':
			return "", fmt.Errorf("%w: text after the closing quote", ErrKey)
		case s[i] == '\\':
			i++
			if i == len(s) || (s[i] != '"' && s[i] != '\\') {
				return "", fmt.Errorf("%w: bad escape", ErrKey)
			}
		}
		b.WriteByte(s[i])
	}
	return "", fmt.Errorf("%w: no closing quote", ErrKey)
}

// CheckKey refuses a key that is not 1 to MaxKey bytes of printable ASCII.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKey {
		return fmt.Errorf("%w: %d bytes, allowed 1 to %d", ErrKey, len(key), MaxKey)
	}
	for i := range len(key) {
		if key[i] < 0x20 || key[i] > 0x7e {
			return fmt.Errorf("%w: byte %d is not printable ASCII", ErrKey, i)
		}
	}
	return nil
}

// Shard returns the shard of a customer's key among count shards.
func Shard(customer, key string, count int) int {
	return int(xxhash.Sum64String(scopedKey(customer, key)) % uint64(count))
}

// scopedKey combines customer and key, so that equal keys of different
// customers differ.
func scopedKey(customer, key string) string { return customer + "\x00" + key }

// Owner returns the entry that should write a shard, by rendezvous hashing. It
// is empty if there are no entries.
func Owner(shard int, entries []string) string {
	return Preferred("claim/"+strconv.Itoa(shard), entries)
}

// Preferred returns the entry that should perform a duty, by rendezvous hashing
// over the live entries.
func Preferred(duty string, entries []string) string {
	var best string
	var bestHash uint64
	for _, e := range entries {
		h := xxhash.Sum64String(duty + "\x00" + e)
		if best == "" || h > bestHash || (h == bestHash && e < best) {
			best, bestHash = e, h
		}
	}
	return best
}
