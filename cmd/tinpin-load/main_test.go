package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestWrongUseIsRefusedBeforeAnythingStarts(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"-nodes", "0"}, "nodes must be from"},
		{[]string{"-span", "2h"}, "span must be from"},
		{[]string{"-vary", "colour=1,2"}, "unknown variable"},
		{[]string{"-vary", "nodes=1,many"}, "no whole number"},
		{[]string{"-vary", "nodes=10,-4"}, "nodes must be from"},
		{[]string{"-path", "-5"}, "requests must be from"},
		{[]string{"-fast"}, "-help"},
		{[]string{"now", "please"}, "what is"},
	} {
		var out, bad bytes.Buffer
		if code := run(c.args, strings.NewReader(""), &out, &bad); code != 2 ||
			!strings.Contains(bad.String(), c.want) || out.Len() > 0 {
			t.Errorf("%v: %d, %q, %q", c.args, code, out.String(), bad.String())
		}
	}
	var out, bad bytes.Buffer
	if code := run([]string{"-help"}, strings.NewReader(""), &out, &bad); code != 0 ||
		!strings.Contains(out.String(), "-vary") {
		t.Errorf("help: %d %s", code, out.String())
	}
}
