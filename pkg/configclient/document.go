package configclient

// Document is the value of one key and the service's revision of that value.
type Document struct {
	Key      string
	Revision int64
	Data     []byte
}
