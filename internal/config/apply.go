package config

import (
	"github.com/valyala/fastjson"
)

// Apply checks and applies an update that is committed at the log index rev. The
// text was checked by ParseUpdate before it was proposed and is not checked as
// strictly here: a log that an older version wrote must give the same state as then.
func (s *Store) Apply(body []byte, rev uint64) (err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return ErrInvalid.New("the call is not JSON")
	}
	update, err := readUpdate(v)
	if err != nil {
		return err
	}
	return s.ApplyUpdate(update, rev)
}

// ApplyUpdate checks an update against the configuration that it would give, and
// applies it at the log index rev.
func (s *Store) ApplyUpdate(update Update, rev uint64) (err error) {
	next, err := s.prepare(update, rev)
	if err != nil {
		return err
	}
	if err = next.checkStale(); err != nil {
		return err
	}
	if err = s.checkVersions(next.items); err != nil {
		return err
	}
	if len(next.effective) > 0 {
		if err = next.checkReferences(); err != nil {
			return err
		}
	}
	next.install()
	return nil
}

// change is an update that was parsed but is not applied, divided into the items
// that take effect and those that do not.
type change struct {
	store *Store
	// items are all items of the update, in its order.
	items []*entry
	// effective has at most one item of each key: the one of the highest version,
	// where that is above the version in force.
	effective map[itemKey]*entry
	// stale are the items whose version is not above another one's of the same key.
	stale []*entry
}

// prepare parses the items of an update and compares their versions.
func (s *Store) prepare(update Update, rev uint64) (next *change, err error) {
	next = &change{store: s, effective: map[itemKey]*entry{}}
	for _, item := range update.items {
		item.Rev = rev
		parsed := &entry{Item: item}
		if !item.Dropped {
			if err = parsed.parse(); err != nil {
				return nil, err
			}
		}
		next.add(parsed)
	}
	return next, nil
}

// add adds one item. An update may name an item twice, as set and as removed: of
// these, too, the highest version holds.
func (c *change) add(item *entry) {
	c.items = append(c.items, item)
	key := item.itemKey()
	if old, known := c.store.items[key]; known && old.Version >= item.Version {
		c.stale = append(c.stale, item)
		return
	}
	if other := c.effective[key]; other != nil {
		if other.Version >= item.Version {
			c.stale = append(c.stale, item)
			return
		}
		c.stale = append(c.stale, other)
	}
	c.effective[key] = item
}

// serviceExists tells whether a service would be set after the change.
func (c *change) serviceExists(name string) (exists bool) {
	key := itemKey{Services, name}
	item := c.effective[key]
	if item == nil {
		item = c.store.items[key]
	}
	return item != nil && !item.Dropped
}

// serviceKnown tells whether a service would be set, or was so at any time.
func (c *change) serviceKnown(name string) (known bool) {
	return c.serviceExists(name) || c.store.items[itemKey{Services, name}] != nil
}

// checkStale checks the references of items without effect. A service that was
// removed since is good enough for them.
func (c *change) checkStale() (err error) {
	for _, item := range c.stale {
		if err = checkTargets(item, c.serviceKnown); err != nil {
			return err
		}
	}
	return nil
}

func checkTargets(item *entry, known func(service string) bool) (err error) {
	if item.route == nil {
		return nil
	}
	for _, target := range item.route.Targets {
		if !known(target.Service) {
			return ErrInvalid.New("routes %s names unknown service %s", item.Name, target.Service)
		}
	}
	return nil
}

// checkReferences checks the configuration that the change would give.
func (c *change) checkReferences() (err error) {
	seen := &references{routes: map[string]string{}, tenants: map[string]string{}}
	for _, item := range c.effective {
		if err = c.checkItem(item, seen); err != nil {
			return err
		}
	}
	for key, item := range c.store.items {
		if c.effective[key] == nil {
			if err = c.checkItem(item, seen); err != nil {
				return err
			}
		}
	}
	return nil
}

// references holds what only one item may claim, each with the name of that item.
type references struct {
	// routes are by host and prefix, tenants by host.
	routes, tenants map[string]string
}

func (c *change) checkItem(item *entry, seen *references) (err error) {
	if item.Dropped {
		return nil
	}
	if item.route != nil {
		match := item.route.Host + " " + item.route.Prefix
		if other, known := seen.routes[match]; known {
			return ErrInvalid.New("routes %s and %s have the same host and prefix", other, item.Name)
		}
		seen.routes[match] = item.Name
		return checkTargets(item, c.serviceExists)
	}
	if item.tenant != nil {
		for _, host := range item.tenant.Hosts {
			if other, known := seen.tenants[host]; known {
				return ErrInvalid.New("tenants %s and %s share host %s", other, item.Name, host)
			}
			seen.tenants[host] = item.Name
		}
	}
	return nil
}

// install puts the effective items in force and remembers every version that was
// superseded.
func (c *change) install() {
	s := c.store
	for _, item := range c.items {
		old, inForce := s.items[item.itemKey()], c.effective[item.itemKey()]
		if inForce == nil {
			inForce = old
		} else if old != nil {
			s.Superseded.Remember(old.versionKey(), old.contentDigest())
		}
		if item.Version < inForce.Version {
			s.Superseded.Remember(item.versionKey(), item.contentDigest())
		}
	}
	if len(c.effective) == 0 {
		return
	}
	for key, item := range c.effective {
		s.items[key] = item
	}
	for _, item := range c.items {
		for _, field := range item.Fields {
			s.addColumn(item.Set, field.Name)
		}
	}
}
