package settings

import "github.com/sycamorelift/sycamorelift/pkg/yamldoc"

// readZones reads the region of each availability zone. Null is read as absent: the platform's
// template yields it on deployments that do not state the regions.
func readZones(v yamldoc.Value, target *map[string]string) {
	if node := v.Node(); node == nil || node.Tag == "!!null" {
		return
	}
	o := v.Object()
	zones := make(map[string]string)
	for i, keys := 0, v.Node().Content; i+1 < len(keys); i += 2 {
		var region string
		o.Required(keys[i].Value).Match(&region, idPattern, idRule)
		zones[keys[i].Value] = region
	}
	*target = zones
}
