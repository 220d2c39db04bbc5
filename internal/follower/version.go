package follower

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Version is a complete and verified configuration version. It is immutable.
type Version struct {
	View       *compiler.View
	PreparedAt timekeeper.Millis // time of the verification by this node
	Base       uint64            // version that Delta applies to
	Delta      []byte            // empty if the version was assembled from sections
	sections   func() (sections, error)
}

type sections struct {
	manifest []compiler.Entry
	bodies   map[string][]byte
}

func newVersion(view *compiler.View, now timekeeper.Millis, base uint64, delta []byte) *Version {
	return &Version{
		View: view, PreparedAt: now, Base: base, Delta: delta,
		// Encoded on first use: most nodes receive no request for sections.
		sections: sync.OnceValues(func() (sections, error) {
			manifest, bodies, err := compiler.Sections(view)
			return sections{manifest: manifest, bodies: bodies}, err
		}),
	}
}

// Manifest returns the account and digest of each section.
func (v *Version) Manifest() ([]compiler.Entry, error) {
	s, err := v.sections()
	return s.manifest, err
}

// Body returns the section with the given digest, or nil if the version does not contain it.
func (v *Version) Body(digest string) []byte {
	s, err := v.sections()
	if err != nil {
		return nil
	}
	return s.bodies[digest]
}
