package forward

import "net/http"

// exchangeBytes returns the approximate bytes of a request and its reply on the wire,
// without those of lower protocols.
func exchangeBytes(request *Request, reply *Reply) int {
	return len(request.Method) + len(request.Target) + len(request.Host) + len(request.Body) + headerBytes(request.Header) +
		len(reply.Body) + len(reply.Proof) + headerBytes(reply.Header)
}

// headerBytes counts each field with its separators.
func headerBytes(header http.Header) int {
	const separators = len(": \r\n")
	bytes := 0
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value) + separators
		}
	}
	return bytes
}
