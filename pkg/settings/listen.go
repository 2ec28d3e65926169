package settings

import (
	"net/netip"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Listen holds the addresses to listen on, each as IP:port.
type Listen struct {
	Caller   string // caller API
	Peer     string // other instances; as in the platform's list of instances
	Operator string // read-only operator interface
}

func (l *Listen) read(v yamldoc.Value) {
	o := v.Object()
	taken := map[string]string{}
	readListener(o, "caller", &l.Caller, taken)
	readListener(o, "peer", &l.Peer, taken)
	readListener(o, "operator", &l.Operator, taken)
	o.Close()
}

// readListener also reports an address that another listener has.
func readListener(o *yamldoc.Object, key string, target *string, taken map[string]string) {
	v := o.Required(key)
	readAddress(v, target)
	if *target == "" {
		return
	}
	if other, twice := taken[*target]; twice {
		v.Fail("%s is the address of %s too", *target, other)
	}
	taken[*target] = key
}

// readAddress reads an IP:port. Names are refused because connections use IP
// addresses, port 0 because other processes couldn't know the port.
func readAddress(v yamldoc.Value, target *string) {
	var s string
	v.String(&s)
	if s == "" {
		return
	}
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		v.Fail("%q is not an address of the form IP:port", s)
		return
	}
	if address.Port() == 0 {
		v.Fail("the port must not be 0")
		return
	}
	*target = address.String()
}
