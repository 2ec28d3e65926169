package bundle

import (
	"fmt"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Verify reads a published bundle, checks its signatures against the trusted
// persons, then its content. The error is a finding.List.
func Verify(data []byte, trust Trust) (*Verified, error) {
	return VerifyFile("bundle", data, trust)
}

// VerifyFile is Verify with the file name that findings state.
func VerifyFile(file string, data []byte, trust Trust) (*Verified, error) {
	e, err := ReadEnvelope(file, data)
	if err != nil {
		return nil, err
	}
	signers, err := e.checkSignatures(file, trust)
	if err != nil {
		return nil, err
	}
	b, err := e.Parse(file)
	if err != nil {
		return nil, err
	}
	nameSigners(b, signers)
	digest := bundleDigest(e, signers)
	return &Verified{Bundle: b, Digest: digest, Signers: signers, teams: indexTeams(b, digest)}, nil
}

// nameSigners writes the person who answers for a rule into the rule.
func nameSigners(b *Bundle, signers map[string]string) {
	for _, t := range b.Teams {
		for _, c := range t.Classes {
			for i := range c.Rules {
				c.Rules[i].Signer = signers[TeamSection(t.Name)]
			}
		}
	}
}

// checkSignatures returns the person who answers for each section and for the
// release. Content that nobody signed is not parsed.
func (e *Envelope) checkSignatures(file string, trust Trust) (map[string]string, error) {
	signers := map[string]string{}
	var findings finding.List
	for i := range e.Sections {
		s := &e.Sections[i]
		person, err := s.signer(trust)
		if err != nil {
			findings = append(findings, s.finding(file, err.Error()))
		}
		signers[s.Name] = person
	}
	if err := e.checkRelease(trust); err != nil {
		findings = append(findings, finding.Finding{File: file, Line: 1, Column: 1, Path: "release", Message: err.Error()})
	}
	signers[ReleaseSigner] = e.Release.Person
	return signers, findings.Err()
}

// signer returns the trusted person who signed the section, the first by name
// when there are several. Sign-offs of persons who are not trusted for the
// section don't count; a wrong signature of a trusted one is an error.
func (s *Section) signer(trust Trust) (string, error) {
	person := ""
	for _, signOff := range s.SignOffs {
		signer, known := trust.signer(signOff.Person)
		if !known || !signer.maySign(s.Name) {
			continue
		}
		if !signer.signed(sectionStatement(s), signOff.Signature) {
			return "", fmt.Errorf("the sign-off by %q doesn't match the content", signer.Name)
		}
		if person == "" || signer.Name < person {
			person = signer.Name
		}
	}
	if person == "" {
		return "", fmt.Errorf("no sign-off by a person trusted for %q", s.Name)
	}
	return person, nil
}

func (e *Envelope) checkRelease(trust Trust) error {
	if e.Release.Person == "" {
		return fmt.Errorf("the bundle is not released")
	}
	signer, known := trust.signer(e.Release.Person)
	if !known || !signer.MayRelease {
		return fmt.Errorf("%q may not release bundles", e.Release.Person)
	}
	if !signer.signed(releaseStatement(e.Version, e.Sections), e.Release.Signature) {
		return fmt.Errorf("the release signature by %q doesn't match the version and sections", signer.Name)
	}
	return nil
}

func (s *Section) finding(file, message string) finding.Finding {
	return finding.Finding{File: file, Line: max(1, s.place.line), Column: 1, Path: s.Name, Message: message}
}

// Parse reads the content of all sections without checking signatures. The
// error is a finding.List.
func (e *Envelope) Parse(file string) (*Bundle, error) {
	b := &Bundle{Version: e.Version, Platform: defaultPlatform()}
	var findings finding.List
	platform := e.Section(PlatformSection)
	if platform == nil {
		return nil, finding.List{{File: file, Line: 1, Column: 1, Path: "sections", Message: "there is no section \"platform\""}}
	}
	findings = append(findings, platform.read(file, func(v yamldoc.Value) { b.Platform = parsePlatform(v) })...)
	for i := range e.Sections {
		s := &e.Sections[i]
		team, ok := teamOfSection(s.Name)
		if !ok {
			continue
		}
		findings = append(findings, s.read(file, func(v yamldoc.Value) {
			b.Teams = append(b.Teams, parseNamedTeam(v, b.Platform, team))
		})...)
	}
	if len(b.Teams) == 0 {
		findings = append(findings, finding.Finding{File: file, Line: 1, Column: 1, Path: "sections", Message: "there is no team's section"})
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return b, nil
}

func parseNamedTeam(v yamldoc.Value, p Platform, name string) Team {
	t := parseTeam(v, p, newNames("team"))
	if t.Name != "" && t.Name != name {
		v.Fail("the content is of team %q", t.Name)
	}
	return t
}

// read parses the section's content and returns the findings about it.
func (s *Section) read(file string, parse func(yamldoc.Value)) finding.List {
	doc := yamldoc.ParseAt(file, []byte(s.Content), yamldoc.Place{Line: s.place.line, Column: s.place.column})
	parse(doc.Root(s.Name))
	return doc.Findings()
}
