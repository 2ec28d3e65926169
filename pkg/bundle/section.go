package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// PlatformSection is the name of the platform's section.
const PlatformSection = "platform"

const teamSectionPrefix = "team/"

// TeamSection returns the name of a team's section.
func TeamSection(team string) string { return teamSectionPrefix + team }

func teamOfSection(section string) (string, bool) {
	return strings.CutPrefix(section, teamSectionPrefix)
}

// Section is one part of a bundle with its sign-offs. A sign-off covers the
// section's name and content only, so it stays valid while other sections
// change.
type Section struct {
	Name     string
	Content  string // YAML text, signed as it is
	SignOffs []SignOff
	place    sectionPlace
}

// sectionPlace is where the section was read; zero for a new one.
type sectionPlace struct{ line, column int }

// Digest returns the SHA-256 of the content in hexadecimal.
func (s *Section) Digest() string { return digestOf(s.Content) }

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
