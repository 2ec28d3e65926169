package settings

import (
	"regexp"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// Instance tells which instance this is and where it runs.
type Instance struct {
	ID     string // unique in the fleet, as in the platform's list of instances
	Zone   string // availability zone
	Region string
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)

const idRule = "1 to 63 letters, digits and inner dots, hyphens or underscores"

func (i *Instance) read(v yamldoc.Value) {
	o := v.Object()
	o.Required("id").Match(&i.ID, idPattern, idRule)
	o.Required("zone").Match(&i.Zone, idPattern, idRule)
	o.Required("region").Match(&i.Region, idPattern, idRule)
	o.Close()
}
