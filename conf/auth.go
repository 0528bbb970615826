package conf

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// MinTokenBytes is the minimum length of an operator's token.
const MinTokenBytes = 16

// Auth has the operators' credentials. A call to the operators' API without one of
// them is refused.
type Auth struct {
	Operators []Operator `yaml:"operators"`
}

// Operator is one operator's credential.
type Operator struct {
	// Name is unique and is recorded with the operator's actions.
	Name string `yaml:"name"`
	// Token is the bearer token in plain text; TokenHash is its SHA-256 in lower
	// case hexadecimal. Exactly one of them is set.
	Token     string `yaml:"token"`
	TokenHash string `yaml:"hash"`
}

// OperatorByToken returns the name of the operator that a bearer token belongs
// to, and whether there is one.
func (a *Auth) OperatorByToken(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, o := range a.Operators {
		want := o.tokenHash()
		if subtle.ConstantTimeCompare(want, sum[:]) == 1 {
			name, found = o.Name, true
		}
	}
	return name, found
}

// tokenHash returns the SHA-256 of the operator's token, nil when TokenHash is not
// hexadecimal.
func (o *Operator) tokenHash() []byte {
	if o.Token != "" {
		sum := sha256.Sum256([]byte(o.Token))
		return sum[:]
	}
	b, err := hex.DecodeString(o.TokenHash)
	if err != nil {
		return nil
	}
	return b
}

func (a *Auth) check(c *checker) {
	if len(a.Operators) == 0 {
		c.addFault("auth.operators", "names no operator, so that every operator's call would be refused")
	}
	seen := map[string]bool{}
	for i := range a.Operators {
		o, key := &a.Operators[i], itemKey("auth.operators", i)
		c.checkName(key+".name", o.Name)
		if seen[o.Name] {
			c.addFault(key+".name", "%s is given twice", o.Name)
		}
		seen[o.Name] = true
		o.check(c, key)
	}
}

func (o *Operator) check(c *checker, key string) {
	switch {
	case (o.Token == "") == (o.TokenHash == ""):
		c.addFault(key, "want either token or hash")
	case o.Token != "" && len(o.Token) < MinTokenBytes:
		c.addFault(key+".token", "has %d bytes, want at least %d", len(o.Token), MinTokenBytes)
	case o.TokenHash != "" && len(o.tokenHash()) != sha256.Size:
		c.addFault(key+".hash", "is not the SHA-256 of a token in hexadecimal")
	}
}
