package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// ReadEnvelope reads a published bundle without checking signatures or the
// content of sections. The error is a finding.List.
func ReadEnvelope(file string, data []byte) (*Envelope, error) {
	if len(data) > MaxEnvelopeBytes {
		return nil, tooLarge(file, len(data))
	}
	doc := yamldoc.Parse(file, data)
	e := parseEnvelope(doc.Root(""))
	if err := doc.Findings().Err(); err != nil {
		return nil, err
	}
	e.locate(data)
	return e, nil
}

func tooLarge(file string, size int) finding.List {
	message := fmt.Sprintf("the envelope has %d bytes; the largest is %d", size, MaxEnvelopeBytes)
	return finding.List{{File: file, Line: 1, Column: 1, Message: message}}
}

func parseEnvelope(v yamldoc.Value) *Envelope {
	var e Envelope
	var format string
	o := v.Object()
	yamldoc.OneOf(o.Required("format"), &format, envelopeFormat)
	o.Required("version").Int64(&e.Version, versionRange)
	sections := newNames("section")
	for _, item := range o.Required("sections").SomeItems() {
		e.Sections = append(e.Sections, parseSection(item, sections))
	}
	if release := o.Optional("release"); release.Present() {
		e.Release = parseSignOff(release, newNames("release"))
	}
	o.Close()
	return &e
}

func parseSection(v yamldoc.Value, sections *names) Section {
	var s Section
	o := v.Object()
	name := o.Required("name")
	name.String(&s.Name)
	checkSectionName(name, s.Name)
	sections.add(name, s.Name)
	content := o.Required("content")
	content.Text(&s.Content)
	if node := content.Node(); node != nil {
		s.place = sectionPlace{line: node.Line, column: node.Column}
		if node.Style&yaml.LiteralStyle == 0 {
			s.place = sectionPlace{}
		}
	}
	persons := newNames("sign-off by")
	for _, item := range o.Optional("sign_offs").Items() {
		s.SignOffs = append(s.SignOffs, parseSignOff(item, persons))
	}
	o.Close()
	return s
}

func checkSectionName(v yamldoc.Value, name string) {
	if name == "" || name == PlatformSection {
		return
	}
	team, ok := teamOfSection(name)
	if !ok || !namePattern.MatchString(team) {
		v.Fail("%q is neither %q nor %q with a team's name", name, PlatformSection, teamSectionPrefix)
	}
}

func parseSignOff(v yamldoc.Value, persons *names) SignOff {
	var s SignOff
	o := v.Object()
	person := o.Required("person")
	person.Match(&s.Person, personPattern, personRule)
	persons.add(person, s.Person)
	var text string
	signature := o.Required("signature")
	signature.String(&text)
	if text != "" {
		s.Signature = decodeKey(signature, text, ed25519.SignatureSize)
	}
	o.Close()
	return s
}

// decodeKey decodes base64 of an exact number of bytes. Strict decoding gives
// each value one text.
func decodeKey(v yamldoc.Value, text string, size int) []byte {
	data, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(data) != size {
		v.Fail("expected %d bytes in base64", size)
		return nil
	}
	return data
}

// locate finds out by how many columns each section's block is indented, so
// that findings in its content have a column of the envelope.
func (e *Envelope) locate(data []byte) {
	lines := strings.Split(string(data), "\n")
	for i := range e.Sections {
		s := &e.Sections[i]
		s.place.column = 0
		if s.place.line == 0 || s.place.line >= len(lines) {
			continue
		}
		first, _, _ := strings.Cut(s.Content, "\n")
		s.place.column = max(0, len(lines[s.place.line])-len(first))
	}
}
