package bundle

import "github.com/rotisserie/eris"

// SignSection adds the person's sign-off of one section, in place of an
// earlier one by the same person.
func (e *Envelope) SignSection(name string, key Key) error {
	s := e.Section(name)
	if s == nil {
		return eris.Errorf("the bundle has no section %q", name)
	}
	s.SignOffs = addSignOff(s.SignOffs, key.sign(sectionStatement(s)))
	return nil
}

// SignRelease sets the release signature over the version and all sections.
func (e *Envelope) SignRelease(key Key) {
	e.Release = key.sign(releaseStatement(e.Version, e.Sections))
}
