package statemachine

import (
	"tinpin/internal/dedup"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// Requests of operators are remembered under their version or name once they were
// accepted, so that the same request, sent again after others, is confirmed and
// changes nothing, whatever is in force by then.

// maxAccepted is how many accepted requests are remembered.
const maxAccepted = 4096

func documentKey(kind policy.Kind, version policy.Version) (key dedup.Key) {
	return dedup.Key{Kind: "document", Name: string(kind), Version: uint64(version)}
}

func retirementKey(id rpc.EndpointID) (key dedup.Key) {
	return dedup.Key{Kind: "retire", Name: string(id)}
}

// requestKey is that of a request with a name. The kind is part of stored digests.
func requestKey(command Command) (key dedup.Key) {
	return dedup.Key{Kind: "order", Name: command.Key}
}

func requestDigest(command Command) (digest dedup.Digest) {
	content := &dedup.ContentHash{}
	content.AddUint(uint64(command.Kind))
	content.AddText(command.Subject)
	return content.Digest()
}

// hasRequestName tells whether a command is a request without a version to which
// the operator gave a name, the key.
func (c Command) hasRequestName() (named bool) {
	switch c.Kind {
	case CommandStartEvacuation, CommandEndEvacuation, CommandRetire, CommandCancelRetire:
		return c.Key != ""
	}
	return false
}

// AcceptedByName tells whether a request was accepted under the name that it has;
// the error is a dedup.ErrConflict where another one was.
func (s *State) AcceptedByName(command Command) (accepted bool, err error) {
	if !command.hasRequestName() {
		return false, nil
	}
	digest, known := s.Accepted.Lookup(requestKey(command))
	if known && digest != requestDigest(command) {
		return false, dedup.ErrConflict.New("order %q is another one", command.Key)
	}
	return known, nil
}
