// Package conf reads and checks the settings file of an entry process. The file is
// strict YAML; all of its faults are reported at once, one per line, with file,
// line, column and key.
package conf

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"shallotpaddle/strict"
	"shallotpaddle/table"
)

// ErrInvalid is returned for settings that have a fault.
var ErrInvalid = strict.ErrInvalid

// Doc is the document in a settings file. Each section is declared in a source
// file of its own.
type Doc struct {
	Self     Self     `yaml:"self"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Limits   Limits   `yaml:"limits"`
	Hosts    Hosts    `yaml:"hosts"`
	Auth     Auth     `yaml:"auth"`
	Log      Log      `yaml:"log"`
}

// Default returns a document with all defaults set. Names, addresses, the
// platform's URL and credentials have no default.
func Default() Doc {
	return Doc{
		Listen: defaultListen(), Platform: defaultPlatform(), Peers: defaultPeers(),
		Limits: defaultLimits(), Hosts: defaultHosts(), Log: Log{Level: DefaultLogLevel},
	}
}

// Settings are settings that have passed all checks. They are immutable.
type Settings struct {
	doc Doc
	// source gives the line and column of faults that are found after the checks,
	// such as an address in use.
	source *strict.Doc
}

// Self returns the name, data centre and address of the process.
func (s *Settings) Self() Self { return s.doc.Self }

// Listen returns the settings of the listeners.
func (s *Settings) Listen() Listen { return s.doc.Listen }

// Platform returns the platform's address and the rates and times of its use.
func (s *Settings) Platform() Platform { return s.doc.Platform }

// Peers returns the addresses of the other entries and the heartbeat interval.
func (s *Settings) Peers() Peers { return s.doc.Peers }

// Hosts returns the times that govern failure, recovery and lending of hosts.
func (s *Settings) Hosts() Hosts { return s.doc.Hosts }

// Limits returns the limits and intervals of the process.
func (s *Settings) Limits() Limits { return s.doc.Limits }

// Auth returns the operators' credentials; the caller must not change it.
func (s *Settings) Auth() *Auth { return &s.doc.Auth }

// Log returns the settings of the log.
func (s *Settings) Log() Log { return s.doc.Log }

// Fault returns err as a fault of a key whose value proved unusable after the
// checks, such as listen.callers.address. The fault gives the key's line and
// column and matches ErrInvalid.
func (s *Settings) Fault(key string, err error) error { return s.source.ErrorAt(key, err) }

// Load reads and checks a settings file. The error lists all faults, one per line;
// it matches ErrInvalid unless the file can't be read.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, src)
}

// Check reads a settings file and returns its faults, one line each.
func Check(file string) []string {
	_, err := Load(file)
	if err == nil {
		return nil
	}
	var list strict.Errors
	if !errors.As(err, &list) {
		return []string{err.Error()}
	}
	lines := make([]string, len(list))
	for i, e := range list {
		lines[i] = e.Error()
	}
	return lines
}

// Parse reads and checks settings; file is the name that faults give. The error
// matches ErrInvalid.
func Parse(file string, text []byte) (*Settings, error) {
	doc := Default()
	return check(strict.Decode(file, text, &doc), &doc)
}

// New checks settings that a program has built. The error matches ErrInvalid.
func New(doc Doc) (*Settings, error) {
	return check(strict.Decode("", nil, &Doc{}), &doc)
}

func check(src *strict.Doc, doc *Doc) (*Settings, error) {
	c := &checker{src}
	doc.Self.check(c)
	doc.Listen.check(c)
	doc.Platform.check(c)
	doc.Peers.check(c)
	doc.Limits.check(c)
	doc.Hosts.check(c)
	doc.Auth.check(c)
	doc.Log.check(c)
	if err := src.Err(); err != nil {
		return nil, err
	}
	return &Settings{doc: *doc, source: src}, nil
}

// checker checks the values of a document and adds the faults to src.
type checker struct{ src *strict.Doc }

func (c *checker) addFault(key, format string, args ...any) { c.src.AddError(key, format, args...) }

func (c *checker) checkInt(key string, v, low, high int, unit string) {
	if v < low || v > high {
		c.addFault(key, "%d is not between %d and %d %s", v, low, high, unit)
	}
}

func (c *checker) checkDuration(key string, v table.Duration, low, high time.Duration) {
	if v.Std() < low || v.Std() > high {
		c.addFault(key, "%s is not between %s and %s", v.Std(), low, high)
	}
}

func itemKey(key string, i int) string { return key + "[" + strconv.Itoa(i) + "]" }
