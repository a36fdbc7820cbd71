package soak

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testOptions are a play of the small size.
func testOptions(seed uint64) Options {
	return Options{Seed: seed, Time: 2 * time.Minute, Shape: Gateway, Size: sizes["small"]}
}

// What is drawn is the same each time, and the same again once it is written and read.
func TestASchedulePlaysAgain(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		drawn := Draw(testOptions(seed))
		if diff := cmp.Diff(drawn, Draw(testOptions(seed))); diff != "" {
			t.Fatal(diff)
		}
		var text bytes.Buffer
		if err := drawn.Write(&text); err != nil {
			t.Fatal(err)
		}
		read, err := ReadSchedule(&text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(drawn, read); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Over some seeds everything is drawn, in the time that is meant for it.
func TestEveryActionIsDrawn(t *testing.T) {
	drawn := map[Action]int{}
	for seed := uint64(1); seed <= 20; seed++ {
		schedule := Draw(testOptions(seed))
		for _, event := range schedule.Events {
			drawn[event.Action]++
			if event.At > schedule.Time-quietEnd {
				t.Errorf("seed %d: %v is too late", seed, event)
			}
		}
	}
	for action := range actions {
		if drawn[action] == 0 {
			t.Errorf("%s is never drawn", action)
		}
	}
}

func TestBadSchedules(t *testing.T) {
	head := "soak 1\nseed 1\nfor 1m0s\nshape gateway\nproxies 2\ncontrollers 3\nbackends 4\nclients 1\n"
	for text, want := range map[string]string{
		"soak 2\n":                     "line 1: not a schedule of this version",
		"soak 1\nshape round\n":        "line 2: soak: shape: \"round\"",
		"soak 1\nsize 3\n":             "line 2: what is \"size\"?",
		head + "1s jump\n":             "line 9: what is \"jump\"?",
		head + "1s term\n":             "line 9: term wants a target",
		head + "1s term proxy/3\n":     "line 9: no target: \"proxy/3\"",
		head + "1s term proxy/0\n":     "line 9: no target: \"proxy/0\"",
		head + "1s freeze proxy/1\n":   "line 9: freeze wants a time",
		head + "1s freeze proxy/1 x\n": "line 9: no time: \"x\"",
		head + "1s move now\n":         "line 9: what is \"now\"?",
		head + "-1s move\n":            "line 9: no event",
	} {
		if _, err := ReadSchedule(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestOptionsOutOfBounds(t *testing.T) {
	for want, change := range map[string]func(o *Options){
		"seed":        func(o *Options) { o.Seed = 0 },
		"for":         func(o *Options) { o.Time = time.Second },
		"shape":       func(o *Options) { o.Shape = shapeCount },
		"proxies":     func(o *Options) { o.Size.Proxies = maxProxies + 1 },
		"controllers": func(o *Options) { o.Size.Controllers = 1 },
		"backends":    func(o *Options) { o.Size.Backends = 0 },
		"clients":     func(o *Options) { o.Size.Clients = -1 },
	} {
		options := testOptions(1)
		if err := options.Check(24_000); err != nil {
			t.Fatal(err)
		}
		change(&options)
		if err := options.Check(24_000); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	large := testOptions(1)
	large.Size = sizes["large"]
	if err := large.Check(4000); err == nil || !strings.Contains(err.Error(), "half") {
		t.Errorf("more than half of the memory: %v", err)
	}
}
