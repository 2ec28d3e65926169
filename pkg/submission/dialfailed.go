package submission

import (
	"errors"
	"net"
)

// DialFailed reports whether err shows that no connection could be opened, so
// that nothing was sent. It serves as RouterConfig.NotSent for clients on
// net/http, which dials again only for requests that the other side has
// certainly not processed.
func DialFailed(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}
