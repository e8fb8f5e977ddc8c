package table

import "slices"

// Models returns the names of all models that have a version, sorted.
func (t *Tables) Models() (names []string) {
	for version := range t.Versions {
		if model, _, ok := SplitVersion(version); ok && !slices.Contains(names, model) {
			names = append(names, model)
		}
	}
	slices.Sort(names)
	return names
}
