// Package conf reads the settings file of a process: strict YAML in which every
// fault is reported at once, one a line, with file, line, column and key.
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

// ErrInvalid is returned for settings that can't be used.
var ErrInvalid = strict.ErrInvalid

// Doc is the settings file as a document, each section in a file of its own.
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

// Default returns a document with every default filled in. Names, addresses,
// the platform and credentials have none.
func Default() Doc {
	return Doc{
		Listen: defaultListen(), Platform: defaultPlatform(), Peers: defaultPeers(),
		Limits: defaultLimits(), Hosts: defaultHosts(), Log: Log{Level: DefaultLogLevel},
	}
}

// Settings are checked settings. They don't change.
type Settings struct {
	doc Doc
	// source places faults that are found later, such as an address in use.
	source *strict.Doc
}

// Self returns who the process is.
func (s *Settings) Self() Self { return s.doc.Self }

// Listen returns the addresses to listen on.
func (s *Settings) Listen() Listen { return s.doc.Listen }

// Platform returns how to use the platform.
func (s *Settings) Platform() Platform { return s.doc.Platform }

// Peers returns the other entries.
func (s *Settings) Peers() Peers { return s.doc.Peers }

// Hosts returns the times of the care for hosts.
func (s *Settings) Hosts() Hosts { return s.doc.Hosts }

// Limits returns what the process may take on.
func (s *Settings) Limits() Limits { return s.doc.Limits }

// Auth returns the operators' credentials; the caller must not change it.
func (s *Settings) Auth() *Auth { return &s.doc.Auth }

// Log returns what the process logs.
func (s *Settings) Log() Log { return s.doc.Log }

// Fault returns an error, matching ErrInvalid, that names the place of a key
// whose value turned out to be unusable, such as listen.callers.address.
func (s *Settings) Fault(key string, err error) error { return s.source.ErrorAt(key, err) }

// Load reads a settings file. The error lists every fault, one a line; it
// matches ErrInvalid unless the file can't be read.
func Load(file string) (*Settings, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(file, src)
}

// Check loads a settings file and returns its faults, one a line.
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

// Parse reads settings from the text of a file.
func Parse(file string, text []byte) (*Settings, error) {
	doc := Default()
	return check(strict.Decode(file, text, &doc), &doc)
}

// New returns settings made by a program.
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

// checker collects the faults of a document.
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
