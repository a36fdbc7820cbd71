package config

import (
	"strings"
	"testing"

	"tinpin/internal/dedup"
)

const serviceUpsert = `{"upserts":{"services":{"column_names":["name","max_connections","cold_per_s","version"],` +
	`"row_values":[["s9",100,null,%]]}}}`

// serviceAt is an update of one service, under a version.
func serviceAt(version string) string { return strings.Replace(serviceUpsert, "%", version, 1) }

// update parses and applies an update as one of an operator.
func (s *Store) update(body []byte, rev uint64) (err error) {
	parsed, err := ParseUpdate(body)
	if err != nil {
		return err
	}
	return s.ApplyUpdate(parsed, rev)
}

// The same content under a version is accepted again; other content is rejected, and
// nothing of its update takes effect.
func TestOneVersionHasOneContent(t *testing.T) {
	both := func(one, other string) string {
		_, rows, _ := strings.Cut(other, `"row_values":[`)
		return strings.Replace(one, `]]}}}`, `],`+rows, 1)
	}
	newRoute := route("r9", "a.example", "/fresh/", "keyed", "1s", "1s", "s1", "9")
	steps := []struct {
		name, call string
		conflict   bool
		rejected   bool
	}{
		{name: "first", call: serviceAt("5")},
		{name: "same again", call: serviceAt("5")},
		{name: "columns in another order, no null, another form", call: `{"upserts":{"services":{` +
			`"column_names":["version","max_connections","name"],"row_values":[[5,1.0e2,"s\u0039"]]}}}`},
		{name: "other content", call: strings.Replace(serviceAt("5"), "100", "99", 1), conflict: true},
		{name: "one field more", call: strings.Replace(serviceAt("5"), "null", "3", 1), conflict: true},
		{name: "removal", call: `{"removals":{"services":[{"name":"s9","version":5}]}}`, conflict: true},
		{name: "one valid and one conflicting item", conflict: true, call: both(newRoute,
			route("r1", "a.example", "/x/", "keyed", "1s", "1s", "s1", "7"))},
		{name: "twice in one call, same", call: both(serviceAt("6"), serviceAt("6"))},
		{
			name: "twice in one call, other", rejected: true,
			call: both(serviceAt("7"), strings.Replace(serviceAt("7"), "100", "99", 1)),
		},
		{name: "set and dropped in one call under one version", rejected: true, call: strings.Replace(serviceAt("7"),
			`}}}`, `}},"removals":{"services":[{"name":"s9","version":7}]}}`, 1)},
		{name: "set and dropped under different ones", call: strings.Replace(serviceAt("8"),
			`}}}`, `}},"removals":{"services":[{"name":"s9","version":7}]}}`, 1)},
		{name: "superseded, same", call: serviceAt("5")},
		{name: "superseded, other", call: strings.Replace(serviceAt("5"), "100", "99", 1), conflict: true},
		{name: "superseded in its own call", call: strings.Replace(serviceAt("7"), "100", "99", 1), conflict: true},
		{name: "superseded, not seen before", call: strings.Replace(serviceAt("3"), "100", "99", 1)},
		{name: "superseded, seen since", call: serviceAt("3"), conflict: true},
		{name: "dropped", call: `{"removals":{"services":[{"name":"s9","version":9}]}}`},
		{name: "dropped again", call: `{"removals":{"services":[{"version":9,"name":"s9"}]}}`},
		{name: "set where dropped", call: serviceAt("9"), conflict: true},
		{name: "limits written otherwise", call: `{"upserts":{"limits":{"version":7,"idle_timeout":"15000ms",` +
			`"max_header_bytes":16384.0,"max_body_bytes":67108864,"header_timeout":"3000ms","extra":null}}}`},
		{name: "limits other", call: `{"upserts":{"limits":{"max_header_bytes":16384,"version":7}}}`, conflict: true},
	}
	store := newStore(t)
	for i, step := range steps {
		before := string(store.EncodeUpserts())
		err := store.Apply([]byte(step.call), uint64(i+2))
		if dedup.ErrConflict.Has(err) != step.conflict || (err != nil) != (step.conflict || step.rejected) {
			t.Errorf("%s: %v", step.name, err)
		}
		if err != nil && string(store.EncodeUpserts()) != before {
			t.Errorf("%s: rejected and changed something", step.name)
		}
		if step.conflict && !strings.Contains(err.Error(), "version") {
			t.Errorf("%s: %v does not name the version in force", step.name, err)
		}
	}
}

func TestUnreadableUpdatesChangeNothing(t *testing.T) {
	calls := map[string]string{
		"negative":         serviceAt("-1"),
		"negative zero":    serviceAt("-0"),
		"fraction":         serviceAt("1.5"),
		"fraction of none": serviceAt("1.0"),
		"exponent":         serviceAt("1e3"),
		"beyond 64 bits":   serviceAt("18446744073709551616"),
		"leading zeros":    serviceAt("007"),
		"text":             serviceAt(`"5"`),
		"null":             serviceAt("null"),
		"no number":        serviceAt("--5"),
		"key twice":        strings.Replace(serviceAt("5"), `{"services"`, `{"services":{},"services"`, 1),
		"upserts twice":    strings.Replace(serviceAt("5"), `{"upserts"`, `{"upserts":{},"upserts"`, 1),
		"limit twice":      `{"upserts":{"limits":{"max_body_bytes":1,"max_body_bytes":2,"version":9}}}`,
		"weight twice": `{"upserts":{"routes":{` +
			`"column_names":["name","hostname","path_prefix","route_type","timeout","traffic_split","version"],` +
			`"row_values":[["r3","a.example","/z/","keyed","1s",[{"service_name":"s1","weight":1,"weight":2}],9]]}}}`,
		"two names":         `{"removals":{"services":[{"name":"s2","name":"s9","version":9}]}}`,
		"no name":           `{"removals":{"routes":[{"name":"","version":9}]}}`,
		"limits have none":  `{"removals":{"limits":[{"name":"x","version":9}]}}`,
		"column twice":      `{"upserts":{"services":{"column_names":["name","name","version"],"row_values":[["s8","s9",5]]}}}`,
		"deep":              `{"upserts":` + strings.Repeat("[", 1<<20),
		"deep and closed":   `{"upserts":` + strings.Repeat("[", 4000) + strings.Repeat("]", 4000) + `}`,
		"no UTF-8":          strings.Replace(serviceAt("5"), "s9", "s\xff", 1),
		"raw control":       strings.Replace(serviceAt("5"), "s9", "s\n", 1),
		"trailing data":     serviceAt("5") + "{}",
		"empty":             "",
		"a version with it": strings.Replace(serviceAt("5"), `"version"]`, `"version","version"]`, 1),
	}
	for name, call := range calls {
		store := newStore(t)
		before := string(store.EncodeUpserts())
		if err := store.update([]byte(call), 2); !ErrInvalid.Has(err) {
			t.Errorf("%s: %v", name, err)
		}
		if string(store.EncodeUpserts()) != before || store.Superseded.Len() != 0 {
			t.Errorf("%s: changed something", name)
		}
	}
	store := newStore(t)
	for _, version := range []string{"0", "18446744073709551615"} {
		if err := store.Apply([]byte(serviceAt(version)), 2); err != nil {
			t.Errorf("version %s: %v", version, err)
		}
	}
}
