package configclient

// Document is the value of one key at the service's revision.
type Document struct {
	Key      string
	Revision int64
	Data     []byte
}
