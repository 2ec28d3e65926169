package settings

import (
	"net/netip"
	"net/url"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// ConfigService tells where the platform's configuration service is.
type ConfigService struct {
	URL string // http or https, host as IP:port
}

func (c *ConfigService) read(v yamldoc.Value) {
	o := v.Object()
	readURL(o.Required("url"), &c.URL)
	o.Close()
}

// readURL reads an HTTP URL whose host is IP:port.
func readURL(v yamldoc.Value, target *string) {
	var s string
	v.String(&s)
	if s == "" {
		return
	}
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		v.Fail("%q is not an http or https URL", s)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		v.Fail("the host of %q is not of the form IP:port", s)
		return
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		v.Fail("%q must have no user, query or fragment", s)
		return
	}
	*target = s
}
