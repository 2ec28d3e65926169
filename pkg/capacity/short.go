package capacity

import "fmt"

// short formats a number with four digits and a decimal prefix.
func short(v float64) string {
	for _, unit := range []struct {
		factor float64
		prefix string
	}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
		if v >= unit.factor || v <= -unit.factor {
			return fmt.Sprintf("%.4g%s", v/unit.factor, unit.prefix)
		}
	}
	return fmt.Sprintf("%.4g", v)
}
