package settings

import "github.com/sycamorelift/sycamorelift/pkg/yamldoc"

// readSeeds reads the addresses of other instances that a starting instance
// asks when the configuration service is down, so that it knows no member.
func readSeeds(v yamldoc.Value, target *[]string) {
	for _, item := range v.Items() {
		var address string
		readAddress(item, &address)
		if address != "" {
			*target = append(*target, address)
		}
	}
}
