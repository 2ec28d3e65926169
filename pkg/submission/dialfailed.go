package submission

import (
	"errors"
	"net"
)

// DialFailed reports whether err shows that no connection could be opened and
// therefore nothing was sent. It can be used as RouterConfig.NotSent for clients
// based on net/http: that package dials again only for requests that the server
// has certainly not processed.
func DialFailed(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
