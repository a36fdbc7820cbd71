package affinity

import (
	"crypto/sha256"
	"encoding/base64"
	"net/textproto"
	"slices"
	"strings"

	"tinpin/internal/rpc"
)

// NameResult tells how a session's name was found. All but Named are counted and
// name no session.
type NameResult uint8

// The results.
const (
	Named NameResult = iota
	Missing
	Conflicting
	Malformed
	TooLong
)

// MaxNameLength is the longest name of a session, in bytes.
const MaxNameLength = 1024

// NameSources are the parts of a request that may name a session.
type NameSources struct {
	Headers [][2]string
	Key     string
	Tenant  string
}

// FindName finds the name of the request's session. A name that is missing, there
// twice with other content, malformed or too long is none.
func (r Rule) FindName(sources NameSources) (name string, result NameResult) {
	found := r.namesIn(sources)
	for _, other := range found[min(1, len(found)):] {
		if other != found[0] {
			return "", Conflicting
		}
	}
	switch {
	case len(found) == 0 || found[0] == "":
		return "", Missing
	case len(found[0]) > MaxNameLength:
		return "", TooLong
	}
	for _, character := range []byte(found[0]) {
		if character < ' ' || character == 0x7f {
			return "", Malformed
		}
	}
	return found[0], Named
}

// namesIn lists every value at the rule's source, in the request's order.
func (r Rule) namesIn(sources NameSources) (names []string) {
	switch r.Source {
	case FromHeader:
		wanted := textproto.CanonicalMIMEHeaderKey(r.Name)
		for _, header := range sources.Headers {
			if header[0] == wanted {
				names = append(names, header[1])
			}
		}
	case FromCookie:
		for _, header := range sources.Headers {
			if header[0] == "Cookie" {
				names = appendCookies(names, header[1], r.Name)
			}
		}
	case FromKey:
		names = append(names, sources.Key)
	case FromTenant:
		names = append(names, sources.Tenant)
	}
	return names
}

// appendCookies adds the values of the cookies of one name in a Cookie header.
func appendCookies(values []string, header, name string) []string {
	for _, pair := range strings.Split(header, ";") {
		if key, value, _ := strings.Cut(strings.TrimSpace(pair), "="); key == name {
			values = append(values, strings.Trim(value, `"`))
		}
	}
	return values
}

// SessionIDOf is the id of a session at a service. Only this hash of the name is
// kept or sent anywhere, since the name may be a secret of the client's. Routes
// that are bound to other regions have sessions of their own, since a backend of
// one may be forbidden to the other.
func SessionIDOf(service rpc.ServiceName, homes []string, name string) (session rpc.SessionID) {
	sorted := append([]string{}, homes...)
	slices.Sort(sorted)
	hash := sha256.New()
	for _, part := range append([]string{string(service), name}, sorted...) {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return rpc.SessionID(base64.RawURLEncoding.EncodeToString(hash.Sum(nil)[:16]))
}

// SessionIDLength is the length of an id in bytes.
const SessionIDLength = 22

// ValidID tells whether an id can have come from SessionIDOf.
func ValidID(session rpc.SessionID) (valid bool) {
	if len(session) != SessionIDLength {
		return false
	}
	_, err := base64.RawURLEncoding.DecodeString(string(session))
	return err == nil
}
