package settings

import (
	"path/filepath"

	"github.com/sycamorelift/sycamorelift/pkg/yamldoc"
)

// readPath reads a file name and makes it relative to the settings' directory.
func readPath(v yamldoc.Value, target *string, directory string) {
	var s string
	v.String(&s)
	if s == "" {
		return
	}
	if !filepath.IsAbs(s) {
		s = filepath.Join(directory, s)
	}
	*target = s
}
