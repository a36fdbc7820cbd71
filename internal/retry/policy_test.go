package retry

import (
	"strings"
	"testing"

	"tinpin/internal/policy"
)

func TestInvalidPoliciesAreRejected(t *testing.T) {
	for body, wants := range map[string][]string{
		`[]`:                       {"must be a JSON object"},
		`{"version":1,"rulez":[]}`: {"rulez"},
		`{"version":0,"rules":[]}`: {"version", "rules must hold"},
		`{"version":1,"rules":[{"service":"","ratio":-1,"least_per_s":-2,"window":"0s"}]}`:                                                              {"rules.0.service", "rules.0.ratio", "rules.0.least_per_s", "rules.0.window"},
		`{"version":1,"rules":[{"service":"a","ratio":11,"least_per_s":1e9,"window":"24h"}]}`:                                                           {"rules.0.ratio", "rules.0.least_per_s", "rules.0.window"},
		`{"version":1,"rules":[{"service":"a","ratio":"NaN","least_per_s":1,"window":"10s"}]}`:                                                          {"ratio"},
		`{"version":1,"rules":[{"service":"a","ratio":0.1,"least_per_s":1,"window":"10s"},{"service":"a","ratio":0.1,"least_per_s":1,"window":"10s"}]}`: {"rules.1.service"},
		`{"version":1,"rules":[{"service":"` + strings.Repeat("x", policy.MaxNameLength+1) + `","ratio":0.1,"least_per_s":1,"window":"10s"}]}`:          {"rules.0.service"},
	} {
		_, err := Parse([]byte(body))
		if err == nil {
			t.Errorf("taken: %.80s", body)
			continue
		}
		for _, want := range wants {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%.80s: %q does not name %s", body, err, want)
			}
		}
	}
	parsed, err := Parse([]byte(`{"version":1,"rules":[{"service":"*","ratio":0.1,"least_per_s":1,"window":"10s"},{"service":"a","ratio":0,"least_per_s":0,"window":"1s"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if err = parsed.CheckServices(func(service string) bool { return service == "b" }); err == nil || !strings.Contains(err.Error(), `rules.1.service names unknown service "a"`) {
		t.Fatal(err)
	}
	if rule, written := parsed.RuleFor("a"); !written || rule.Ratio != 0 {
		t.Fatal("the rule of a service goes before that of all")
	}
	if rule, written := parsed.RuleFor("b"); !written || rule.Ratio != 0.1 {
		t.Fatal("the rule of all holds for the others")
	}
	if _, written := (*Policy)(nil).RuleFor("a"); written {
		t.Fatal("without a policy nothing is written")
	}
}
