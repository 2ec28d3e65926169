package bundle

import "bytes"

// ReadAny reads an unsigned bundle or, without checking its signatures, a
// published one. The error is a finding.List.
func ReadAny(file string, data []byte) (*Bundle, error) {
	if !IsEnvelope(data) {
		return Parse(file, data)
	}
	e, err := ReadEnvelope(file, data)
	if err != nil {
		return nil, err
	}
	return e.Parse(file)
}

// IsEnvelope reports whether the text is meant as a published bundle: only
// those have a format at the top level.
func IsEnvelope(data []byte) bool {
	key := []byte("format:")
	return bytes.HasPrefix(data, key) || bytes.Contains(data, append([]byte("\n"), key...))
}
