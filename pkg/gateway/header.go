package gateway

import (
	"net/http"
	"strings"
)

// connectionFields are the hop-by-hop header fields, which apply to one connection
// only (RFC 9110, 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the header without the hop-by-hop fields, including
// those that Connection lists, and without Content-Length, which the sender computes
// from the body.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for field := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(field))
		}
	}
	for _, field := range connectionFields {
		out.Del(field)
	}
	out.Del("Content-Length")
	return out
}
