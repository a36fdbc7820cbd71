package proxy

// DisableChecks has a daemon leave a check out.
func (d *Daemon) DisableChecks(lapse DisabledChecks) { d.disabledChecks = lapse }
