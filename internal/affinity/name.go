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

// Finding says how a session's name was found.
type Finding uint8

// The findings.
const (
	Named Finding = iota
	Missing
	Repeated
	Malformed
	TooLong
)

// NameLength is how long the name of a session may be.
const NameLength = 1024

// Asked is the part of a request that may name a session.
type Asked struct {
	Lines  [][2]string
	Key    string
	Tenant string
}

// Find gives the name of the request's session.
func (r Rule) Find(asked Asked) (name string, finding Finding) {
	var names []string
	switch r.Source {
	case FromHeader:
		wanted := textproto.CanonicalMIMEHeaderKey(r.Name)
		for _, line := range asked.Lines {
			if line[0] == wanted {
				names = append(names, line[1])
			}
		}
	case FromCookie:
		for _, line := range asked.Lines {
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
			return "", Repeated
		}
	}
	switch {
	case len(names) == 0 || names[0] == "":
		return "", Missing
	case len(names[0]) > NameLength:
		return "", TooLong
	}
	for _, letter := range []byte(names[0]) {
		if letter < ' ' || letter == 0x7f {
			return "", Malformed
		}
	}
	return names[0], Named
}

// SessionOf gives the id of a session at a service. Ways that are bound to other
// homes have sessions of their own, since a backend of one may be forbidden to
// the other.
func SessionOf(service rpc.ServiceName, homes []string, name string) (session rpc.SessionID) {
	sorted := append([]string{}, homes...)
	sort.Strings(sorted)
	hash := sha256.New()
	for _, part := range append([]string{string(service), name}, sorted...) {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return rpc.SessionID(base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:16]))
}

// SessionLength is how long an id is.
const SessionLength = 22

// GoodID tells that an id can have come from SessionOf.
func GoodID(session rpc.SessionID) (good bool) {
	if len(session) != SessionLength {
		return false
	}
	_, err := base64.RawURLEncoding.DecodeString(string(session))
	return err == nil
}
