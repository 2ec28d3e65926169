package settings

import (
	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// TLS holds the certificates of each kind of connection. A kind without
// certificates uses cleartext.
type TLS struct {
	Caller  TLSFiles // server side; with a CA file, callers must show a certificate
	Peer    TLSFiles // both sides, mutual: all three files
	Backend TLSFiles // client side: CA file, and a certificate when servers ask for one
}

func (t *TLS) read(v yamldoc.Value, directory string) {
	o := v.Object()
	t.Caller.read(o.Optional("caller"), directory, fileNeeds{certificate: true})
	t.Peer.read(o.Optional("peer"), directory, fileNeeds{certificate: true, ca: true})
	t.Backend.read(o.Optional("backend"), directory, fileNeeds{ca: true})
	o.Close()
}
