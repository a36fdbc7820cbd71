package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestFlags(t *testing.T) {
	for line, c := range map[string]struct {
		code int
		want string
	}{
		"-help":            {0, "tinpin-faulttest accounts"},
		"-rounds 0":        {2, "rounds: 0"},
		"-rounds -5":       {2, "rounds: -5"},
		"-rounds 99999999": {2, "rounds: 99999999"},
		"-rounds 1.5":      {2, "rounds"},
		"-for 0s":          {2, "for: 0s"},
		"-for -1s":         {2, "for: -1s"},
		"-for 25h":         {2, "for: 25h"},
		"-for 10":          {2, "for"},
		"-clients 0":       {2, "clients: 0"},
		"-clients 100000":  {2, "clients: 100000"},
		"-seed 0":          {2, "seed: 0"},
		"-seed -1":         {2, "seed"},
		"-speed 1":         {2, "speed"},
		"-rounds 5 more":   {2, `what is "more"?`},
	} {
		var out, bad bytes.Buffer
		if code := run(strings.Fields(line), &out, &bad); code != c.code || !strings.Contains(out.String()+bad.String(), c.want) {
			t.Errorf("%s: %d %s%s", line, code, out.String(), bad.String())
		}
	}
}
