// One number, one content: what is the same is confirmed again, what is other is
// refused and nothing of its call takes effect.
package config

import (
	"strings"
	"testing"

	"tinpin/internal/dedup"
)

const service = `{"upserts":{"services":{"column_names":["name","max_connections","cold_per_s","version"],"row_values":[["s9",100,null,%]]}}}`

func at(version string) string { return strings.Replace(service, "%", version, 1) }

// update takes a call as an operator's is taken.
func (c *Store) update(body []byte, rev uint64) (err error) {
	call, err := ParseUpdate(body)
	if err != nil {
		return err
	}
	return c.ApplyUpdate(call, rev)
}

func TestOneVersionHasOneContent(t *testing.T) {
	both := func(one, other string) string {
		_, rows, _ := strings.Cut(other, `"row_values":[`)
		return strings.Replace(one, `]]}}}`, `],`+rows, 1)
	}
	fresh := route("r9", "a.example", "/fresh/", "keyed", "1s", "1s", "s1", "9")
	steps := []struct {
		name, call string
		conflict   bool
		refused    bool
	}{
		{name: "first", call: at("5")},
		{name: "same again", call: at("5")},
		{name: "columns in another order, no null, another form", call: `{"upserts":{"services":{"column_names":["version","max_connections","name"],"row_values":[[5,1.0e2,"s\u0039"]]}}}`},
		{name: "other content", call: strings.Replace(at("5"), "100", "99", 1), conflict: true},
		{name: "one field more", call: strings.Replace(at("5"), "null", "3", 1), conflict: true},
		{name: "removal", call: `{"removals":{"services":[{"name":"s9","version":5}]}}`, conflict: true},
		{name: "good and other at once", call: both(fresh, route("r1", "a.example", "/x/", "keyed", "1s", "1s", "s1", "7")), conflict: true},
		{name: "twice in one call, same", call: both(at("6"), at("6"))},
		{name: "twice in one call, other", call: both(at("7"), strings.Replace(at("7"), "100", "99", 1)), refused: true},
		{name: "set and dropped in one call under one version", call: strings.Replace(at("7"), `}}}`, `}},"removals":{"services":[{"name":"s9","version":7}]}}`, 1), refused: true},
		{name: "set and dropped under different ones", call: strings.Replace(at("8"), `}}}`, `}},"removals":{"services":[{"name":"s9","version":7}]}}`, 1)},
		{name: "overtaken, same", call: at("5")},
		{name: "overtaken, other", call: strings.Replace(at("5"), "100", "99", 1), conflict: true},
		{name: "overtaken in its own call", call: strings.Replace(at("7"), "100", "99", 1), conflict: true},
		{name: "overtaken, never seen", call: strings.Replace(at("3"), "100", "99", 1)},
		{name: "overtaken, seen since", call: at("3"), conflict: true},
		{name: "dropped", call: `{"removals":{"services":[{"name":"s9","version":9}]}}`},
		{name: "dropped again", call: `{"removals":{"services":[{"version":9,"name":"s9"}]}}`},
		{name: "set where dropped", call: at("9"), conflict: true},
		{name: "limits written otherwise", call: `{"upserts":{"limits":{"version":7,"idle_timeout":"15000ms","max_header_bytes":16384.0,"max_body_bytes":67108864,"header_timeout":"3000ms","extra":null}}}`},
		{name: "limits other", call: `{"upserts":{"limits":{"max_header_bytes":16384,"version":7}}}`, conflict: true},
	}
	c := set(t)
	for i, step := range steps {
		before := string(c.EncodeUpserts())
		err := c.Apply([]byte(step.call), uint64(i+2))
		if dedup.ErrConflict.Has(err) != step.conflict || (err != nil) != (step.conflict || step.refused) {
			t.Errorf("%s: %v", step.name, err)
		}
		if err != nil && string(c.EncodeUpserts()) != before {
			t.Errorf("%s: refused and changed something", step.name)
		}
		if step.conflict && !strings.Contains(err.Error(), "version") {
			t.Errorf("%s: %v does not say what stands", step.name, err)
		}
	}
}

func TestCallsThatCannotBeReadInFull(t *testing.T) {
	calls := map[string]string{
		"negative":          at("-1"),
		"negative nought":   at("-0"),
		"fraction":          at("1.5"),
		"fraction of none":  at("1.0"),
		"power":             at("1e3"),
		"beyond 64 bits":    at("18446744073709551616"),
		"zeros before":      at("007"),
		"text":              at(`"5"`),
		"null":              at("null"),
		"no number":         at("--5"),
		"key twice":         strings.Replace(at("5"), `{"services"`, `{"services":{},"services"`, 1),
		"upserts twice":     strings.Replace(at("5"), `{"upserts"`, `{"upserts":{},"upserts"`, 1),
		"limit twice":       `{"upserts":{"limits":{"max_body_bytes":1,"max_body_bytes":2,"version":9}}}`,
		"weight twice":      `{"upserts":{"routes":{"column_names":["name","hostname","path_prefix","route_type","timeout","traffic_split","version"],"row_values":[["r3","a.example","/z/","keyed","1s",[{"service_name":"s1","weight":1,"weight":2}],9]]}}}`,
		"two names":         `{"removals":{"services":[{"name":"s2","name":"s9","version":9}]}}`,
		"no name":           `{"removals":{"routes":[{"name":"","version":9}]}}`,
		"limits have none":  `{"removals":{"limits":[{"name":"x","version":9}]}}`,
		"column twice":      `{"upserts":{"services":{"column_names":["name","name","version"],"row_values":[["s8","s9",5]]}}}`,
		"deep":              `{"upserts":` + strings.Repeat("[", 1<<20),
		"deep and closed":   `{"upserts":` + strings.Repeat("[", 4000) + strings.Repeat("]", 4000) + `}`,
		"no UTF-8":          strings.Replace(at("5"), "s9", "s\xff", 1),
		"raw control":       strings.Replace(at("5"), "s9", "s\n", 1),
		"something behind":  at("5") + "{}",
		"nothing":           "",
		"a version with it": strings.Replace(at("5"), `"version"]`, `"version","version"]`, 1),
	}
	for name, call := range calls {
		c := set(t)
		before := string(c.EncodeUpserts())
		if err := c.update([]byte(call), 2); !ErrInvalid.Has(err) {
			t.Errorf("%s: %v", name, err)
		}
		if string(c.EncodeUpserts()) != before || c.Superseded.Len() != 0 {
			t.Errorf("%s: changed something", name)
		}
	}
	c := set(t)
	for _, version := range []string{"0", "18446744073709551615"} {
		if err := c.Apply([]byte(at(version)), 2); err != nil {
			t.Errorf("version %s: %v", version, err)
		}
	}
}
