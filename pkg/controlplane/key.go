package controlplane

import "strings"

// Keys of the control documents.
const (
	KeyBundle   = "bundle"
	KeyMembers  = "members"
	indexPrefix = "index/"
)

// IndexKey returns the key of a service's index manifest.
func IndexKey(team, service string) string {
	return indexPrefix + team + "/" + service
}

// splitIndexKey returns team and service of an index key.
func splitIndexKey(key string) (team, service string, ok bool) {
	rest, ok := strings.CutPrefix(key, indexPrefix)
	if !ok {
		return "", "", false
	}
	team, service, ok = strings.Cut(rest, "/")
	return team, service, ok && team != "" && service != "" && !strings.Contains(service, "/")
}

// isControlKey reports whether documents of the key are held by the store.
func isControlKey(key string) bool {
	_, _, isIndex := splitIndexKey(key)
	return key == KeyBundle || key == KeyMembers || isIndex
}
