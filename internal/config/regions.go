package config

// AllowsRegion reports whether a region is among the allowed regions of a
// route; a route without any allows all.
func AllowsRegion(allowed []string, region string) bool {
	if len(allowed) == 0 {
		return true
	}
	for _, name := range allowed {
		if name == region {
			return true
		}
	}
	return false
}
