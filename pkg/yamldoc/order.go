package yamldoc

import (
	"cmp"
	"slices"

	"github.com/sycamorelift/sycamorelift/pkg/finding"
)

func sortByPlace(list finding.List) {
	slices.SortStableFunc(list, func(a, b finding.Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
