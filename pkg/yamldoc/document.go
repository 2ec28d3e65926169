// Package yamldoc reads YAML documents that people write. It collects every
// problem as a finding with its line, column and path instead of stopping at
// the first one. Anchors, aliases, tags and a second document are refused, so
// that a text has one reading.
package yamldoc

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
)

// Document is one parsed YAML text and the findings about it. It is used by
// one goroutine.
type Document struct {
	file     string
	place    Place
	root     *yaml.Node
	findings finding.List
}

// Place is where a text starts within its file, for a text embedded in another
// document. The zero value is the start of the file.
type Place struct {
	Line   int // lines before the text
	Column int // columns before each line of the text
}

// Parse reads a text that starts at the start of its file.
func Parse(file string, data []byte) *Document {
	return ParseAt(file, data, Place{})
}

// ParseAt reads a text embedded in a file at a place.
func ParseAt(file string, data []byte, place Place) *Document {
	d := &Document{file: file, place: place}
	node, err := decodeOne(data)
	if err != nil {
		d.addSyntax(err)
		return d
	}
	if d.checkPlain(node, "") {
		d.root = node.Content[0]
	}
	return d
}

// Root returns the top value; its path is the given one.
func (d *Document) Root(path string) Value {
	return Value{doc: d, node: d.root, path: path}
}

// Findings returns what was found so far, in order of line and column.
func (d *Document) Findings() finding.List {
	sortByPlace(d.findings)
	return d.findings
}

// errEmpty and errSecondDocument are texts that don't hold exactly one document.
var (
	errEmpty          = errors.New("the document is empty")
	errSecondDocument = errors.New("only one YAML document is allowed")
)

func decodeOne(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var node, next yaml.Node
	err := decoder.Decode(&node)
	if errors.Is(err, io.EOF) {
		return nil, errEmpty
	}
	if err != nil {
		return nil, err
	}
	if len(node.Content) == 0 {
		return nil, errEmpty
	}
	err = decoder.Decode(&next)
	if err == nil {
		return nil, errSecondDocument
	}
	if !errors.Is(err, io.EOF) {
		return nil, err
	}
	return &node, nil
}

var syntaxLine = regexp.MustCompile(`^line (\d+): `)

// addSyntax records a syntax error. The YAML library states its line within
// the message, and no column.
func (d *Document) addSyntax(err error) {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = strings.TrimPrefix(message, m[0])
	}
	d.add(line, 1, "", message)
}

func (d *Document) add(line, column int, path, message string) {
	d.findings = append(d.findings, finding.Finding{
		File:    d.file,
		Line:    line + d.place.Line,
		Column:  column + d.place.Column,
		Path:    path,
		Message: message,
	})
}

// checkPlain reports anchors, aliases and tags. They would let one text have
// several readings, and nested aliases expand without bound.
func (d *Document) checkPlain(node *yaml.Node, path string) bool {
	plain := true
	if node.Kind == yaml.AliasNode {
		d.add(node.Line, node.Column, path, "aliases are not supported")
		return false
	}
	if node.Anchor != "" {
		d.add(node.Line, node.Column, path, "anchors are not supported")
		plain = false
	}
	if node.Style&yaml.TaggedStyle != 0 {
		d.add(node.Line, node.Column, path, "tags are not supported")
		plain = false
	}
	for _, child := range node.Content {
		plain = d.checkPlain(child, path) && plain
	}
	return plain
}
