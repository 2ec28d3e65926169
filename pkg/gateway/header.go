package gateway

import (
	"net/http"
	"strings"
)

// connectionFields concern only one connection (RFC 9110, 7.6.1).
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the header without the fields that concern only one
// connection, and without Content-Length, which follows from the body.
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
