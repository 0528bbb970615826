package drive

import (
	"errors"

	"shallotpaddle/carry"
	"shallotpaddle/permit"
	"shallotpaddle/place"
)

var (
	// ErrLost is the error of a write whose response was lost; the write may
	// have taken effect.
	ErrLost = errors.New("answer lost")
	// ErrDown is the error of a write while the store is down; it has no effect.
	ErrDown = errors.New("store down")
)

// Store is an in-memory document store. It applies one rule at a time, as a
// compare-and-swap that is retried on conflict would.
type Store struct {
	bodies map[string][]byte
	revs   map[string]int64
	// Fault, if set, is called for each write: it decides whether the write
	// takes effect and which error the writer gets.
	Fault  func(key string) (effect bool, err error)
	writes int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{bodies: map[string][]byte{}, revs: map[string]int64{}} }

// Writes returns the number of writes that took effect.
func (s *Store) Writes() int { return s.writes }

// Apply replaces a document's body by what rule returns for it; rule gets nil
// for a document that doesn't exist. It returns the error of rule or of Fault.
func (s *Store) Apply(key string, rule func([]byte) ([]byte, error)) error {
	effect, faultErr := true, error(nil)
	if s.Fault != nil {
		effect, faultErr = s.Fault(key)
	}
	if !effect {
		return faultErr
	}
	body, err := rule(s.bodies[key])
	if err != nil {
		return err
	}
	s.bodies[key] = body
	s.revs[key]++
	s.writes++
	return faultErr
}

// Mirror is a decoded copy of the store's documents.
type Mirror struct {
	carry.Docs
	revs map[string]int64
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{
		Docs: carry.Docs{Outages: map[string]*permit.Doc{}, Placements: map[string]*place.Doc{}},
		revs: map[string]int64{},
	}
}

// Refresh decodes the documents that changed since the last call and reports
// whether there were any. It panics on a document that doesn't decode.
func (m *Mirror) Refresh(s *Store) bool {
	changed := false
	for key, rev := range s.revs {
		if m.revs[key] == rev {
			continue
		}
		changed = true
		m.revs[key] = rev
		if err := m.decode(key, s.bodies[key]); err != nil {
			panic(err)
		}
	}
	return changed
}

func (m *Mirror) decode(key string, body []byte) (err error) {
	name := key[2:]
	if key[0] == 'o' {
		m.Outages[name], err = permit.Decode(body)
		return err
	}
	m.Placements[name], err = place.Decode(body)
	return err
}

// Key returns the store key of the document that a step changes.
func Key(s carry.Step) string {
	if s.Pool != "" {
		return "o/" + s.Pool
	}
	return "p/" + s.DC
}
