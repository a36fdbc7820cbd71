// Name finds what names a session in a request. Only a hash of it is kept or
// sent anywhere, since it may be a secret of the caller's, and so that its
// length does not matter. A name that is missing, there twice with other
// content, malformed or too long names no session, and that is counted.
package affinity

import (
	"crypto/sha256"
	"encoding/base64"
	"net/textproto"
	"sort"
	"strings"

	"tinpin/internal/rpc"
)

// NameResult says how a session's name was found.
type NameResult uint8

// The findings.
const (
	Named NameResult = iota
	Missing
	Conflicting
	Malformed
	TooLong
)

// MaxNameLength is how long the name of a session may be.
const MaxNameLength = 1024

// NameSources is the part of a request that may name a session.
type NameSources struct {
	Headers [][2]string
	Key     string
	Tenant  string
}

// FindName gives the name of the request's session.
func (r Rule) FindName(asked NameSources) (name string, finding NameResult) {
	var names []string
	switch r.Source {
	case FromHeader:
		wanted := textproto.CanonicalMIMEHeaderKey(r.Name)
		for _, line := range asked.Headers {
			if line[0] == wanted {
				names = append(names, line[1])
			}
		}
	case FromCookie:
		for _, line := range asked.Headers {
			if line[0] != "Cookie" {
				continue
			}
			for _, pair := range strings.Split(line[1], ";") {
				if key, value, _ := strings.Cut(strings.TrimSpace(pair), "="); key == r.Name {
					names = append(names, strings.Trim(value, `"`))
				}
			}
		}
	case FromKey:
		names = append(names, asked.Key)
	case FromTenant:
		names = append(names, asked.Tenant)
	}
	for _, other := range names[min(1, len(names)):] {
		if other != names[0] {
			return "", Conflicting
		}
	}
	switch {
	case len(names) == 0 || names[0] == "":
		return "", Missing
	case len(names[0]) > MaxNameLength:
		return "", TooLong
	}
	for _, letter := range []byte(names[0]) {
		if letter < ' ' || letter == 0x7f {
			return "", Malformed
		}
	}
	return names[0], Named
}

// SessionIDOf gives the id of a session at a service. Ways that are bound to other
// homes have sessions of their own, since a backend of one may be forbidden to
// the other.
func SessionIDOf(service rpc.ServiceName, homes []string, name string) (session rpc.SessionID) {
	sorted := append([]string{}, homes...)
	sort.Strings(sorted)
	hash := sha256.New()
	for _, part := range append([]string{string(service), name}, sorted...) {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return rpc.SessionID(base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:16]))
}

// SessionIDLength is how long an id is.
const SessionIDLength = 22

// ValidID tells that an id can have come from SessionOf.
func ValidID(session rpc.SessionID) (good bool) {
	if len(session) != SessionIDLength {
		return false
	}
	_, err := base64.RawURLEncoding.DecodeString(string(session))
	return err == nil
}
