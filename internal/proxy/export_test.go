package proxy

// Plant has a daemon leave a check out.
func (d *Daemon) Plant(lapse Lapse) { d.lapse = lapse }
