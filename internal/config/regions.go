package config

import "slices"

// AllowsRegion reports whether a region is among the allowed regions of a
// route; a route without any allows all.
func AllowsRegion(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}
