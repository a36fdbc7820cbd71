package drain

import (
	"strings"
	"testing"
)

const sound = `{"version":1,"rules":[{"service":"*","notice":"1s","finish":"10s","keyed":"deadline","least_share":0.5},{"service":"pay","notice":"2s","finish":"5s","keyed":"finish","least_share":0}],"lost_touch":"3s","cut_off":"stop"}`

// A refused policy names every fault in one line.
func TestPolicyNamesEachFault(t *testing.T) {
	policy, err := Parse([]byte(sound))
	if err != nil {
		t.Fatal(err)
	}
	if policy.RuleFor("pay").KeyedRequests != KeyedFinish || policy.RuleFor("other").MinShare != 0.5 || (*Policy)(nil).RuleFor("x").KeyedRequests != KeyedDeadline {
		t.Fatal("a service's own rule goes before the one for all, and a usual one holds without a policy")
	}
	if err = policy.CheckServices(func(service string) bool { return service == "book" }); err == nil || !strings.Contains(err.Error(), `rules.1.service names unknown service "pay"`) {
		t.Fatal(err)
	}
	_, err = Parse([]byte(`{"version":0,"rules":[{"service":"a","notice":"2h","finish":"0s","keyed":"maybe","least_share":1},{"service":"a","notice":"-1s","finish":"1s","keyed":"finish","least_share":-1}],"lost_touch":"10ms","cut_off":"hide"}`))
	if err == nil || strings.Contains(err.Error(), "\n") {
		t.Fatal(err)
	}
	for _, fault := range []string{"version ", "rules.0.notice", "rules.0.finish", "rules.0.keyed", "rules.0.least_share", "rules.1.service", "rules.1.notice", "rules.1.least_share", "lost_touch", "cut_off"} {
		if !strings.Contains(err.Error(), fault) {
			t.Errorf("%q is not named in %q", fault, err)
		}
	}
	for _, body := range []string{``, `[]`, `{"version":1,"rulez":[]}`, `{"version":1,"rules":[{"service":"a","notice":"soon","finish":"1s","keyed":"finish","least_share":0}]}`} {
		if _, err = Parse([]byte(body)); err == nil {
			t.Errorf("%s was taken", body)
		}
	}
}
