package peering

import "net/http"

// maxReplyBytes bounds the reply to any call to another instance. A watch reply with all items of
// a store of 1,900 servers takes about 1 MiB; the frames of a reply to a call for parts are
// bounded one by one as well.
const maxReplyBytes = 64 << 20

// boundedTransport bounds the replies that an http.RoundTripper returns. A reader that goes
// beyond the bound gets an error, and the connection is not reused.
type boundedTransport struct {
	next  http.RoundTripper
	bytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, t.bytes)
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *boundedTransport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
