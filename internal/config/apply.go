package config

import (
	"github.com/valyala/fastjson"
)

// Apply checks and carries out a call at the place rev of the log. How it is
// written was looked at before it came there, and counts no more: a log that an
// older version wrote gives what it gave then.
func (c *Store) Apply(body []byte, rev uint64) (err error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return ErrInvalid.New("the call is not JSON")
	}
	call, err := parseUpdate(v)
	if err != nil {
		return err
	}
	return c.ApplyUpdate(call, rev)
}

// ApplyUpdate checks a call against what would stand after it, and carries it out.
func (c *Store) ApplyUpdate(call Update, rev uint64) (err error) {
	fresh := map[itemKey]*entry{}
	var parsed, stale []*entry
	for _, item := range call.items {
		item.Rev = rev
		next := &entry{Item: item}
		if !item.Dropped {
			if err = next.read(); err != nil {
				return err
			}
		}
		parsed = append(parsed, next)
		key := itemKey{item.Set, item.Name}
		if old, known := c.items[key]; known && old.Version >= item.Version {
			stale = append(stale, next)
			continue
		}
		// A call may name an item twice, as set and as dropped: the highest
		// version holds here as elsewhere.
		if other := fresh[key]; other != nil {
			if other.Version >= item.Version {
				stale = append(stale, next)
				continue
			}
			stale = append(stale, other)
		}
		fresh[key] = next
	}
	stands := func(key itemKey) (item *entry) {
		if item = fresh[key]; item == nil {
			item = c.items[key]
		}
		if item == nil || item.Dropped {
			return nil
		}
		return item
	}
	known := func(service string, dropped bool) bool {
		key := itemKey{Services, service}
		return stands(key) != nil || dropped && c.items[key] != nil
	}
	for _, item := range stale {
		if item.way == nil {
			continue
		}
		for _, target := range item.way.Targets {
			if !known(target.Service, true) {
				return ErrInvalid.New("routes %s names unknown service %s", item.Name, target.Service)
			}
		}
	}
	if err = c.checkNumbers(parsed); err != nil {
		return err
	}
	if len(fresh) > 0 {
		if err = c.checkWhole(fresh, known); err != nil {
			return err
		}
	}
	c.take(parsed, fresh)
	return nil
}

// checkWhole checks what would stand with the fresh items.
func (c *Store) checkWhole(fresh map[itemKey]*entry, known func(service string, dropped bool) bool) (err error) {
	places := map[string]string{}
	hosts := map[string]string{}
	check := func(item *entry) (checkErr error) {
		if item.way != nil {
			place := item.way.Host + " " + item.way.Prefix
			if other, taken := places[place]; taken {
				return ErrInvalid.New("routes %s and %s have the same host and prefix", other, item.Name)
			}
			places[place] = item.Name
			for _, target := range item.way.Targets {
				if !known(target.Service, false) {
					return ErrInvalid.New("routes %s names unknown service %s", item.Name, target.Service)
				}
			}
		}
		if item.tenant != nil {
			for _, host := range item.tenant.Hosts {
				if other, taken := hosts[host]; taken {
					return ErrInvalid.New("tenants %s and %s share host %s", other, item.Name, host)
				}
				hosts[host] = item.Name
			}
		}
		return nil
	}
	for _, item := range fresh {
		if !item.Dropped {
			if err = check(item); err != nil {
				return err
			}
		}
	}
	for key, item := range c.items {
		if fresh[key] == nil && !item.Dropped {
			if err = check(item); err != nil {
				return err
			}
		}
	}
	return nil
}

// take puts the fresh items in force and remembers what is overtaken.
func (c *Store) take(parsed []*entry, fresh map[itemKey]*entry) {
	for _, item := range parsed {
		key := itemKey{item.Set, item.Name}
		old, holds := c.items[key], fresh[key]
		if holds == nil {
			holds = old
		} else if old != nil {
			c.Superseded.Remember(old.number(), old.digest())
		}
		if item.Version < holds.Version {
			c.Superseded.Remember(item.number(), item.digest())
		}
	}
	if len(fresh) == 0 {
		return
	}
	for key, item := range fresh {
		c.items[key] = item
	}
	for _, item := range parsed {
		for _, field := range item.Fields {
			c.learnColumn(item.Set, field.Name)
		}
	}
}
