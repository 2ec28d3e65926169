package bundle

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// The first line of a statement keeps a signature of one purpose from being
// valid for another. Names hold no line break or space.
const (
	sectionStatementHead = "sycamorelift section sign-off 1"
	releaseStatementHead = "sycamorelift bundle release 1"
	digestStatementHead  = "sycamorelift bundle digest 1"
)

// sectionStatement is the text that a section's sign-off signs.
func sectionStatement(s *Section) []byte {
	return []byte(fmt.Sprintf("%s\n%s %s\n", sectionStatementHead, s.Name, s.Digest()))
}

// releaseStatement is the text that the release signature signs. Sections are
// listed by name, so their order in the envelope has no meaning.
func releaseStatement(version int64, sections []Section) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%d\n", releaseStatementHead, version)
	for _, s := range sortedSections(sections) {
		fmt.Fprintf(&b, "%s %s\n", s.Name, s.Digest())
	}
	return []byte(b.String())
}

// bundleDigest identifies what instances act on: the released content and the
// persons named in refusals. Formatting of the envelope and sign-offs without
// effect don't change it, so a relay without keys can't produce another digest
// from them.
func bundleDigest(e *Envelope, signers map[string]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%s", digestStatementHead, releaseStatement(e.Version, e.Sections))
	for _, s := range sortedSections(e.Sections) {
		fmt.Fprintf(&b, "%s %q\n", s.Name, signers[s.Name])
	}
	fmt.Fprintf(&b, "release %q\n", e.Release.Person)
	return digestOf(b.String())
}

func sortedSections(sections []Section) []Section {
	sorted := slices.Clone(sections)
	slices.SortFunc(sorted, func(a, b Section) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}
