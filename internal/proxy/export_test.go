package proxy

// DisableChecks has a daemon leave a check out.
func (d *Daemon) DisableChecks(checks DisabledChecks) { d.disabledChecks = checks }
