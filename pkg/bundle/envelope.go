package bundle

import (
	"bytes"
	"encoding/base64"
	"fmt"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// MaxEnvelopeBytes is the largest value that the configuration service stores.
const MaxEnvelopeBytes = 1_000_000

// envelopeFormat names the layout of the envelope and of its signed statements.
const envelopeFormat = "sycamorelift-bundle-1"

// Envelope is a bundle as it is published: the exact text of each section, the
// sign-offs and the release signature.
type Envelope struct {
	Version  int64
	Sections []Section
	Release  SignOff // the zero value before release
}

// Section returns the section of a name, or nil.
func (e *Envelope) Section(name string) *Section {
	for i := range e.Sections {
		if e.Sections[i].Name == name {
			return &e.Sections[i]
		}
	}
	return nil
}

// Encode returns the envelope as YAML. It fails when the text is larger than
// MaxEnvelopeBytes or doesn't read back as the same sections.
func (e *Envelope) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(indentSpaces)
	if err := encoder.Encode(e.file()); err != nil {
		return nil, eris.Wrap(err, "encode bundle envelope")
	}
	if out.Len() > MaxEnvelopeBytes {
		return nil, eris.Errorf("the envelope has %d bytes; the largest is %d", out.Len(), MaxEnvelopeBytes)
	}
	if err := e.checkReadsBack(out.Bytes()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

const indentSpaces = 2

// checkReadsBack guards against a content that YAML's block style changes.
func (e *Envelope) checkReadsBack(data []byte) error {
	read, err := ReadEnvelope("envelope", data)
	if err != nil {
		return eris.Wrap(err, "read back the envelope")
	}
	before, after := releaseStatement(e.Version, e.Sections), releaseStatement(read.Version, read.Sections)
	if !bytes.Equal(before, after) {
		return eris.New("the sections change when the envelope is read back")
	}
	return nil
}

type envelopeFile struct {
	Format   string        `yaml:"format"`
	Version  int64         `yaml:"version"`
	Sections []sectionFile `yaml:"sections"`
	Release  *signOffFile  `yaml:"release,omitempty"`
}

type sectionFile struct {
	Name     string        `yaml:"name"`
	SignOffs []signOffFile `yaml:"sign_offs,omitempty"`
	Content  yaml.Node     `yaml:"content"`
}

type signOffFile struct {
	Person    string `yaml:"person"`
	Signature string `yaml:"signature"`
}

func (e *Envelope) file() envelopeFile {
	f := envelopeFile{Format: envelopeFormat, Version: e.Version}
	for i := range e.Sections {
		f.Sections = append(f.Sections, e.Sections[i].file())
	}
	if e.Release.Person != "" {
		release := e.Release.file()
		f.Release = &release
	}
	return f
}

func (s *Section) file() sectionFile {
	content := yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Style: yaml.LiteralStyle, Value: s.Content}
	f := sectionFile{Name: s.Name, Content: content}
	for _, signOff := range s.SignOffs {
		f.SignOffs = append(f.SignOffs, signOff.file())
	}
	return f
}

func (s SignOff) file() signOffFile {
	return signOffFile{Person: s.Person, Signature: base64.StdEncoding.EncodeToString(s.Signature)}
}

// NewEnvelope splits an unsigned bundle into sections. Sign-offs of an earlier
// envelope, which may be nil, are kept for the sections that are unchanged.
func NewEnvelope(file string, payload []byte, earlier *Envelope) (*Envelope, error) {
	b, values, err := parsePayload(file, payload)
	if err != nil {
		return nil, err
	}
	e := &Envelope{Version: b.Version}
	for _, v := range values {
		content, err := sectionText(v)
		if err != nil {
			return nil, err
		}
		e.Sections = append(e.Sections, Section{Name: v.name, Content: content})
	}
	if earlier != nil {
		e.keepSignOffs(earlier)
	}
	return e, nil
}

func (e *Envelope) keepSignOffs(earlier *Envelope) {
	for i := range e.Sections {
		s := &e.Sections[i]
		old := earlier.Section(s.Name)
		if old != nil && old.Content == s.Content {
			s.SignOffs = old.SignOffs
		}
	}
	if bytes.Equal(releaseStatement(e.Version, e.Sections), releaseStatement(earlier.Version, earlier.Sections)) {
		e.Release = earlier.Release
	}
}

// sectionText writes a section's value as a document of its own. The same
// value yields the same text wherever it stands in the payload.
func sectionText(v sectionValue) (string, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(indentSpaces)
	if err := encoder.Encode(v.value.Node()); err != nil {
		return "", eris.Wrap(err, fmt.Sprintf("encode section %s", v.name))
	}
	return out.String(), nil
}
