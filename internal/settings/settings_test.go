package settings

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

const good = `{"name":"edge-1","address":"10.1.0.13","zone":"a","region":"north","zone_regions":{"a":"north"},
"first_start":true,"data_directory":"","listen":{"frontend":"10.1.0.13:8161"},"internal_ports":[7720,7735],"seeds":["10.1.0.15:8166"],"memory_mb":284,
"bounds":{"drain":"2500ms","catch_up":"6s","retry_budget_ratio":0.2},"send_interval":"4s","something_new":[1,{"x":2}]}`

func TestParse(t *testing.T) {
	p, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if p.Bounds.Drain != 2500*time.Millisecond || p.Bounds.CatchUp != 6*time.Second || p.SendInterval != 4*time.Second ||
		p.HealthCheckInterval != time.Second || p.ControllerInternalAddress() != "10.1.0.13:7720" || p.ProxyInternalAddress() != "10.1.0.13:7721" || p.SeedInternalAddress(p.Seeds[0]) != "10.1.0.15:7720" {
		t.Fatalf("%+v", p)
	}
}

// Each bad field is named, all of them in one line.
func TestBadFieldsAreNamed(t *testing.T) {
	bad := map[string][2]string{
		"name":                {`"edge-1"`, `""`},
		"address":             {`"10.1.0.13","zone"`, `"here","zone"`},
		"listen.frontend":     {`"10.1.0.13:8161"`, `"10.1.0.13"`},
		"internal_ports":      {`[7720,7735]`, `[7735,7720]`},
		"seeds":               {`["10.1.0.15:8166"]`, `[]`},
		"seeds.0":             {`["10.1.0.15:8166"]`, `["10.1.0.15"]`},
		"memory_mb":           {`284`, `"much"`},
		"bounds.drain":        {`"2500ms"`, `"2500"`},
		"bounds.catch_up":     {`"6s"`, `6`},
		"send_interval":       {`"4s"`, `4`},
		"bounds.retry_budget": {`0.2`, `-1`},
	}
	all := good
	for field, change := range bad {
		text := strings.Replace(good, change[0], change[1], 1)
		_, err := Parse([]byte(text))
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
		all = strings.Replace(all, change[0], change[1], 1)
	}
	if _, err := Parse([]byte(all)); err == nil || strings.Count(err.Error(), ";") < 6 {
		t.Errorf("not all findings are told: %v", err)
	}
	for _, text := range []string{"", "[]", "{", `{"name":1}`} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

// A field under an earlier name is refused in words that give the new one, and
// nothing else is said of it.
func TestEarlierFieldNamesAreRefused(t *testing.T) {
	for earlier, name := range renamedFields {
		text := strings.Replace(good, "{", `{"`+earlier+`":"x",`, 1)
		_, err := Parse([]byte(text))
		want := "settings: " + earlier + " is now called " + name
		if err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
	text := strings.NewReplacer(`"zone"`, `"site"`, `"internal_ports"`, `"inner_ports"`).Replace(good)
	_, err := Parse([]byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) || len(invalid.Fields) != 2 {
		t.Fatalf("%v", err)
	}
	if want := (FieldError{"inner_ports", "is now called internal_ports"}); invalid.Fields[0] != want {
		t.Errorf("%v, want %v", invalid.Fields[0], want)
	}
	if want := (FieldError{"site", "is now called zone"}); invalid.Fields[1] != want {
		t.Errorf("%v, want %v", invalid.Fields[1], want)
	}
}

func TestErrorsAreTyped(t *testing.T) {
	if _, err := Load(""); !errors.Is(err, ErrNoFile) {
		t.Error(err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "absent")); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if _, err := Parse([]byte("[]")); !errors.Is(err, ErrNotObject) {
		t.Error(err)
	}
	var syntax *SyntaxError
	if _, err := Parse([]byte("{")); !errors.As(err, &syntax) {
		t.Error(err)
	}
}

// The template of the deploy file, filled by hand, is a good settings file.
func TestDeployTemplate(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.tmpl"))
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{
		"node_name": `"core-1"`, "ip_address": `"10.0.0.1"`, "zone": `"a"`, "region": `"n"`, "zones": `{"a":"n"}`, "first_start": `true`, "data_directory": `"/data"`,
		"listen_addresses": `{"control_plane":"10.0.0.1:8166"}`, "internal_port_range": `[7720,7735]`, "seed_nodes": `["10.0.0.1:8166"]`,
		"limits.memory_mb": `280`, "limits.cpu_share": `0.25`, "limits.link_mbps": `5.5`, "fault_tolerance.machine_losses": `2`, "fault_tolerance.zones": `1`, "limits.max_file_descriptors": `4096`, "cloud_api.address": `"10.9.0.1:80"`, "cloud_api.rate_per_s": `44.0`, "bounds": `{"drain":"2s","catch_up":"6s"}`,
	}
	for _, with := range []bool{true, false} {
		text := string(raw)
		for _, name := range []string{"data_directory", "cloud_api.address"} {
			from, to := "{{#"+name+"}}", "{{/"+name+"}}"
			otherFrom, otherTo := "{{^"+name+"}}", "{{/"+name+"}}"
			cut := func(open, end string, keep bool) {
				start := strings.Index(text, open)
				stop := start + strings.Index(text[start:], end)
				inner := ""
				if keep {
					inner = text[start+len(open) : stop]
				}
				text = text[:start] + inner + text[stop+len(end):]
			}
			cut(from, to, with)
			cut(otherFrom, otherTo, !with)
		}
		for name, value := range values {
			text = strings.ReplaceAll(text, "{{"+name+"|json}}", value)
		}
		if err = fastjson.Validate(text); err != nil {
			t.Fatalf("%v in %s", err, text)
		}
		p, parseErr := Parse([]byte(text))
		if parseErr != nil {
			t.Fatal(parseErr)
		}
		if p.ToleratedZoneLosses != 1 || p.Bounds.CatchUp != 6*time.Second {
			t.Fatalf("%+v", p)
		}
		if with && (p.DataDirectory != "/data" || p.PlatformAddress != "10.9.0.1:80") || !with && (p.DataDirectory != "" || p.PlatformAddress != "") {
			t.Fatalf("%+v", p)
		}
	}
}
