package table

// MaxName is the greatest length of a name, in bytes.
const MaxName = 63

// ValidName tells whether s is a valid name of a host, pool, queue, customer, job
// kind, entry, operator or release note: at most MaxName lower case letters, digits
// and dashes, with no dash first or last.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxName || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
