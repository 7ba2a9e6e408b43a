package kernel

import "maps"

// CloneMap returns a copy of m, so that a plug-in can change it for the next state
// without changing the present one. The copy of a nil map is an empty map.
func CloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
