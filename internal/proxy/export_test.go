package proxy

// DisableChecks has a node skip checks.
func (d *Daemon) DisableChecks(checks DisabledChecks) { d.disabledChecks = checks }
