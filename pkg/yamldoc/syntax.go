package yamldoc

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var syntaxLine = regexp.MustCompile(`^line (\d+): `)

// parserProblems are the messages of the YAML library's parser. It counts
// their lines from 0 and those of its scanner from 1.
var parserProblems = []string{
	"did not find expected ',' or ']'",
	"did not find expected ',' or '}'",
	"did not find expected '-' indicator",
	"did not find expected <document start>",
	"did not find expected <stream-start>",
	"did not find expected key",
	"did not find expected node content",
	"found duplicate %TAG directive",
	"found duplicate %YAML directive",
	"found incompatible YAML document",
	"found undefined tag handle",
}

// addSyntax records a syntax error. The YAML library states its line within
// the message, none for the first line, and no column.
func (d *Document) addSyntax(err error) {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = strings.TrimPrefix(message, m[0])
		if slices.Contains(parserProblems, message) {
			line++
		}
	}
	d.add(line, 1, "", message)
}
