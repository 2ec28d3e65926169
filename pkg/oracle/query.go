package oracle

import "strings"

// matches evaluates a query text on a document key.
func matches(query, key string) bool {
	query = strings.TrimSuffix(query, "!crash")
	kind, argument, _ := strings.Cut(query, ":")
	switch kind {
	case "all":
		return true
	case "prefix":
		return strings.HasPrefix(key, argument)
	case "key":
		return key == argument
	}
	return false
}
