package standin

// configValue is one revision of one key.
type configValue struct {
	revision int64
	data     []byte
}

// valueAt returns the newest value that is not newer than revision.
func valueAt(history []configValue, revision int64) (configValue, bool) {
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].revision <= revision {
			return history[i], true
		}
	}
	return configValue{}, false
}
