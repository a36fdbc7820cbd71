package soak

import (
	"context"
	"fmt"
)

const (
	// widestBody allows every body of the clients, tightestBody not all of them.
	widestBody, tightestBody = 1_000_000, 100_000
	// firstIdle is the clients' idle time-out at first.
	firstIdle = "15s"
)

// limitsContent are the limits with an idle time-out and a bound on bodies.
func limitsContent(idle string, bodyBytes, version int) string {
	return fmt.Sprintf(`{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms",`+
		`"idle_timeout":"%s","version":%d}`, bodyBytes, idle, version)
}

// setLimits sends the limits after a change of them.
func (o *Operator) setLimits(ctx context.Context, change func()) {
	o.send(ctx, limitsItem, func(version int) (*Change, string) {
		o.mu.Lock()
		defer o.mu.Unlock()
		change()
		content := limitsContent(o.idle, o.bodyBytes, version)
		return &Change{BodyBytes: o.bodyBytes, Content: content}, `{"upserts":{"limits":` + content + `}}`
	})
}
