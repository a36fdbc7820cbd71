package affinity

import (
	"strings"
	"testing"
)

func TestInvalidPoliciesAreRejected(t *testing.T) {
	for body, wants := range map[string][]string{
		`{"version":1,"rulez":[]}`: {"rulez"},
		`{"version":0,"rules":[]}`: {"version", "rules must hold"},
		`{"version":1,"rules":[{"service":"","from":"star","idle":"1s","alone":"maybe","most":0}]}`:                                                                                                               {"rules.0.service", "rules.0.from", "rules.0.idle", "rules.0.alone", "rules.0.most"},
		`{"version":1,"rules":[{"service":"a","from":"header","idle":"-5m","alone":"refuse","most":1}]}`:                                                                                                          {"rules.0.name", "rules.0.idle"},
		`{"version":1,"rules":[{"service":"a","from":"cookie","name":"a b","idle":"1m","alone":"refuse","most":1}]}`:                                                                                              {"rules.0.name"},
		`{"version":1,"rules":[{"service":"a","from":"key","name":"x","idle":"48h","alone":"serve","most":200001}]}`:                                                                                              {"rules.0.name", "rules.0.idle", "rules.0.most"},
		`{"version":1,"rules":[{"service":"a","from":"key","idle":"1m","alone":"serve","most":150000},{"service":"a","from":"key","idle":"1m","alone":"serve","most":150000}]}`:                                   {"rules.1.service", "rules.1.most"},
		`{"version":1,"rules":[{"service":"a","from":"header","name":"X","idle":"1m","alone":"serve","most":1.5}]}`:                                                                                               {"most"},
		`{"version":1,"rules":[{"service":"` + strings.Repeat("x", 300) + `","from":"header","name":"X","idle":"1m","alone":"serve","most":1}]}`:                                                                  {"rules.0.service"},
		`{"version":1,"rules":[{"service":"a","from":"header","name":"` + strings.Repeat("x", 65) + `","idle":"1m","alone":"serve","most":1},{"service":"b","from":"tenant","idle":"1m","alone":"x","most":-1}]}`: {"rules.0.name", "rules.1.alone", "rules.1.most"},
	} {
		_, err := Parse([]byte(body))
		if err == nil {
			t.Errorf("taken: %.90s", body)
			continue
		}
		for _, want := range wants {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%.90s: %q does not name %s", body, err, want)
			}
		}
	}
	policy, err := Parse([]byte(`{"version":1,"rules":[{"service":"*","from":"key","idle":"1m","alone":"refuse","most":10},{"service":"a","from":"header","name":"X-Caller","idle":"1m","alone":"refuse","most":10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if err = policy.CheckServices(func(string) bool { return false }); err == nil || !strings.Contains(err.Error(), `unknown service "a"`) {
		t.Fatal(err)
	}
}

func TestFindName(t *testing.T) {
	header := Rule{Source: FromHeader, Name: "x-caller"}
	cookie := Rule{Source: FromCookie, Name: "sid"}
	for _, c := range []struct {
		rule    Rule
		asked   NameSources
		name    string
		finding NameResult
	}{
		{header, NameSources{Headers: [][2]string{{"X-Caller", "anna"}}}, "anna", Named},
		{header, NameSources{Headers: [][2]string{{"X-Caller", "anna"}, {"X-Caller", "anna"}}}, "anna", Named},
		{header, NameSources{Headers: [][2]string{{"X-Caller", "anna"}, {"X-Caller", "ben"}}}, "", Conflicting},
		{header, NameSources{}, "", Missing},
		{header, NameSources{Headers: [][2]string{{"X-Caller", ""}}}, "", Missing},
		{header, NameSources{Headers: [][2]string{{"X-Caller", strings.Repeat("a", MaxNameLength+1)}}}, "", TooLong},
		{header, NameSources{Headers: [][2]string{{"X-Caller", "a\x01b"}}}, "", Malformed},
		{cookie, NameSources{Headers: [][2]string{{"Cookie", `theme=dark; sid="s-1"; x`}}}, "s-1", Named},
		{cookie, NameSources{Headers: [][2]string{{"Cookie", "sid=a; sid=b"}}}, "", Conflicting},
		{cookie, NameSources{Headers: [][2]string{{"Cookie", "other=1"}}}, "", Missing},
		{Rule{Source: FromKey}, NameSources{Key: "k-1"}, "k-1", Named},
		{Rule{Source: FromTenant}, NameSources{Tenant: ""}, "", Missing},
	} {
		if name, finding := c.rule.FindName(c.asked); name != c.name || finding != c.finding {
			t.Errorf("%v in %v: %q, %d", c.rule, c.asked, name, finding)
		}
	}
	one, other := SessionIDOf("s", []string{"a", "b"}, "n"), SessionIDOf("s", []string{"b", "a"}, "n")
	if one != other || !ValidID(one) || one == SessionIDOf("s", nil, "n") || one == SessionIDOf("t", []string{"a", "b"}, "n") || ValidID("short") || ValidID("!!!!!!!!!!!!!!!!!!!!!!") {
		t.Error("ids of sessions")
	}
}
