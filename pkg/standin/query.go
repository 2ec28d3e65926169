package standin

import (
	"strings"

	"github.com/rotisserie/eris"
)

// DefaultLimit is the number of hits returned when a request states none.
const DefaultLimit = 50

// CrashMarker is the suffix of queries that crash a backend server whose crash
// fault is on. The rest of the query is evaluated normally elsewhere.
const CrashMarker = "!crash"

// Query is a parsed query: all, prefix:P or key:K.
type Query struct {
	prefix string
	key    string
}

// ParseQuery parses a query text. The crash marker is ignored.
func ParseQuery(text string) (Query, error) {
	text = strings.TrimSuffix(text, CrashMarker)
	if text == "all" {
		return Query{}, nil
	}
	if prefix, ok := strings.CutPrefix(text, "prefix:"); ok && prefix != "" {
		return Query{prefix: prefix}, nil
	}
	if key, ok := strings.CutPrefix(text, "key:"); ok && key != "" {
		return Query{key: key}, nil
	}
	return Query{}, eris.Errorf("query %q is none of all, prefix:P, key:K", text)
}

// Matches reports whether a document key satisfies the query.
func (q Query) Matches(key string) bool {
	if q.key != "" {
		return key == q.key
	}
	return strings.HasPrefix(key, q.prefix)
}
