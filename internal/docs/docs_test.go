// Package docs holds the tests that keep the pages true: tables against the
// code they describe, and examples as they are run.
package docs

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"tinpin/internal/affinity"
	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/loadtest"
	"tinpin/internal/metrics"
	"tinpin/internal/retry"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
	"tinpin/internal/settings"
)

func page(t *testing.T, name string) (text string) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func examples(text, kind string) (found []string) {
	for _, match := range regexp.MustCompile("(?s)```json "+kind+"\n(.*?)```").FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}

func TestEventsCatalogue(t *testing.T) {
	text, _, _ := strings.Cut(page(t, "docs/events.md"), "\n## ")
	if rows := strings.Count(text, "\n| 1"); rows != len(eventlog.Catalogue) {
		t.Errorf("%d rows for %d events", rows, len(eventlog.Catalogue))
	}
	for event, entry := range eventlog.Catalogue {
		row := regexp.MustCompile(fmt.Sprintf(`(?m)^\| %d \| %s \| [^|]*\| %s \|( [^|]+ \|){3}$`,
			event, regexp.QuoteMeta(entry.Text), entry.Level))
		if !row.MatchString(text) {
			t.Errorf("event %d %q at level %s is not in the catalogue", event, entry.Text, entry.Level)
		}
	}
}

func TestErrorsTable(t *testing.T) {
	text := page(t, "docs/errors.md")
	for kind := apierror.BadRequest; kind <= apierror.ShuttingDown; kind++ {
		answer := kind.Response()
		ran := "no"
		if answer.MayHaveRun {
			ran = "yes"
		}
		if !strings.Contains(text, fmt.Sprintf("| %d | %s | %s |", answer.Status, answer.Text, ran)) {
			t.Errorf("problem %d (%d %q) is not in the table", kind, answer.Status, answer.Text)
		}
	}
}

// The platform fetches the figures of a role where the template has it serve them.
func TestFiguresAreServedWhereTheDeployFileNamesThem(t *testing.T) {
	template := page(t, "deploy/settings.tmpl")
	port := regexp.MustCompile(`"metrics_address": "\{\{ip_address\}\}:(\d+)"`).FindStringSubmatch(template)
	if port == nil {
		t.Fatal("the template names no metrics_address")
	}
	deploy := page(t, "deploy/system.toml")
	roles := strings.Count(deploy, "\n[roles.")
	named := strings.Count(deploy, "\nmetrics = \""+port[1]+metrics.Path+"\"\n")
	if roles == 0 || roles != named {
		t.Errorf("%d of %d roles name port %s and path %s", named, roles, port[1], metrics.Path)
	}
}

func TestConfigurationExamples(t *testing.T) {
	text := page(t, "docs/configuration.md")
	items := config.New()
	calls, refused := examples(text, "call"), examples(text, "refused")
	if len(calls) < 2 || len(refused) < 2 {
		t.Fatal("the page has lost its examples")
	}
	for i, call := range calls {
		if err := items.Apply([]byte(call), uint64(i+1)); err != nil {
			t.Errorf("example %d: %v", i+1, err)
		}
	}
	for i, call := range refused {
		if items.Apply([]byte(call), 9) == nil {
			t.Errorf("refused example %d was taken", i+1)
		}
	}
	table := items.RoutingTable()
	if table.Find("shop.example", "/hello/x") == nil || table.Find("shop.example", "/pay/x") != nil ||
		table.Tenant("shop.example") == nil {
		t.Error("the examples do not leave what the page says")
	}
}

func TestSettingsExampleAndTable(t *testing.T) {
	text := page(t, "docs/settings.md")
	for _, example := range examples(text, "settings") {
		if _, err := settings.Parse([]byte(example)); err != nil {
			t.Error(err)
		}
	}
	source := page(t, "internal/settings/parse.go")
	reads := `r\.(?:requiredText|text|flag|table|number|duration|addresses|address|portRange)\("([a-z_.]+)"`
	fields := regexp.MustCompile(reads).FindAllStringSubmatch(source, -1)
	if len(fields) < 40 {
		t.Fatalf("only %d settings found in the source", len(fields))
	}
	for _, match := range fields {
		if !strings.Contains(text, "`"+match[1]+"`") {
			t.Errorf("setting %s is not in the table", match[1])
		}
	}
}

func TestPagesLinkToWhatThereIs(t *testing.T) {
	pages, _ := filepath.Glob("../../docs/*.md")
	for _, path := range append(pages, "../../README.md") {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range regexp.MustCompile(`\]\(([^)#:]+)\)`).FindAllStringSubmatch(string(data), -1) {
			if _, err = os.Stat(filepath.Join(filepath.Dir(path), match[1])); err != nil {
				t.Errorf("%s links to %s, which is not there", path, match[1])
			}
		}
	}
}

// The examples of policies and plans are read, and those that are said to be
// refused are refused.
func TestOrderExamples(t *testing.T) {
	services := map[string]bool{"pay": true, "booking": true}
	known := func(service string) bool { return services[service] }
	policies, plans := examples(page(t, "docs/draining.md"), "policy"), examples(page(t, "docs/day-plan.md"), "plan")
	if len(policies) < 2 || len(plans) < 2 {
		t.Fatal("the pages have lost their examples")
	}
	for _, body := range policies {
		if policy, err := drain.Parse([]byte(body)); err != nil || policy.CheckServices(known) != nil {
			t.Error(err, policy.CheckServices(known))
		}
	}
	for _, body := range plans {
		plan, err := schedule.Parse([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		if err = plan.Check(known, func(region rpc.RegionName) bool {
			return region == "nairobi" || region == "mombasa" || region == "kisumu"
		}); err != nil {
			t.Error(err)
		}
	}
	for _, body := range examples(page(t, "docs/draining.md"), "refused") {
		if _, err := drain.Parse([]byte(body)); err == nil {
			t.Errorf("taken: %s", body)
		}
	}
	for _, body := range examples(page(t, "docs/day-plan.md"), "refused") {
		if _, err := schedule.Parse([]byte(body)); err == nil {
			t.Errorf("taken: %s", body)
		}
	}
}

// The documents of sessions and retries likewise.
func TestSessionAndRetryExamples(t *testing.T) {
	known := func(service string) bool { return service == "pay" || service == "booking" }
	for name, read := range map[string]func(body []byte) error{
		"affinity": func(body []byte) error {
			policy, err := affinity.Parse(body)
			if err != nil {
				return err
			}
			return policy.CheckServices(known)
		},
		"retry": func(body []byte) error {
			policy, err := retry.Parse(body)
			if err != nil {
				return err
			}
			return policy.CheckServices(known)
		},
	} {
		text := page(t, map[string]string{"affinity": "docs/affinity.md", "retry": "docs/retry-limit.md"}[name])
		good, bad := examples(text, name), examples(text, "refused")
		if len(good) == 0 || len(bad) == 0 {
			t.Errorf("the page of %s has lost its examples", name)
		}
		for _, body := range good {
			if err := read([]byte(body)); err != nil {
				t.Error(name, err)
			}
		}
		for _, body := range bad {
			if read([]byte(body)) == nil {
				t.Errorf("%s: taken: %s", name, body)
			}
		}
	}
}

func TestTenantExamples(t *testing.T) {
	for _, call := range examples(page(t, "docs/tenants.md"), "call") {
		if err := config.New().Apply([]byte(call), 1); err != nil {
			t.Error(err)
		}
	}
}

// The totals of the capacity page are those of the points that are kept.
func TestCapacityIsComputedFromItsPoints(t *testing.T) {
	sweeps, err := loadtest.Sweeps("../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	if table := loadtest.Table(sweeps); !strings.Contains(page(t, "docs/CAPACITY.md"), table) {
		t.Errorf("docs/CAPACITY.md does not hold what 'tinpin-load -reckon docs/capacity' prints:\n%s", table)
	}
}
