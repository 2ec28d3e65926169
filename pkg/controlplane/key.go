package controlplane

import "strings"

// Keys of the control documents. The key of an index manifest is indexPrefix
// followed by team and service.
const (
	KeyBundle   = "bundle"
	KeyMembers  = "members"
	indexPrefix = "index/"
)

// IndexKey returns the key of a service's index manifest.
func IndexKey(team, service string) string {
	return indexPrefix + team + "/" + service
}

// splitIndexKey returns the team and the service of an index manifest's key. ok is
// false for any other key.
func splitIndexKey(key string) (team, service string, ok bool) {
	rest, ok := strings.CutPrefix(key, indexPrefix)
	if !ok {
		return "", "", false
	}
	team, service, ok = strings.Cut(rest, "/")
	return team, service, ok && team != "" && service != "" && !strings.Contains(service, "/")
}

// isControlKey reports whether key is the key of a control document. The store
// holds no other documents.
func isControlKey(key string) bool {
	_, _, isIndex := splitIndexKey(key)
	return key == KeyBundle || key == KeyMembers || isIndex
}
