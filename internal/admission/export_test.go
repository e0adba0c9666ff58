package admission

import "cmp"

// CompareID compares IDs, so that tests can visit them in a fixed order.
func CompareID(a, b ID) int {
	return cmp.Or(cmp.Compare(a.index, b.index), cmp.Compare(a.gen, b.gen))
}
