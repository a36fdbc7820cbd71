package statemachine

import (
	"bytes"
	"encoding/gob"
	"maps"
	"time"

	"github.com/zeebo/errs"

	"tinpin/internal/config"
	"tinpin/internal/dedup"
	"tinpin/internal/policy"
	"tinpin/internal/rpc"
)

// ErrCorruptSnapshot marks snapshots that cannot be read as a state.
var ErrCorruptSnapshot = errs.Class("corrupt snapshot")

// The types below are the form of a state in a snapshot, encoded with gob. THEIR
// FIELD NAMES ARE FROZEN: gob stores them, and a renamed field would read as zero
// from the disk of an older version. The names of the types are not stored. What
// the logic uses has types of its own; a new field of those needs one here.
// config.Item, policy.Document, dedup.Snapshot, rpc.Retirement and rpc.ScheduleStep
// are stored as they are, and are frozen where they are defined.
type (
	snapshotFormat struct {
		Canon       []config.Item //words:frozen stored in snapshots
		Evacuations map[string]storedEvacuation
		Documents   map[policy.Kind]policy.Document
		Retired     map[rpc.EndpointID]rpc.Retirement
		Move        rpc.ScheduleStep
		Bindings    map[rpc.SessionID]storedBinding
		// Claims are in the order of their sequence numbers, which are in Seqs.
		Claims   []storedClaim
		Seqs     []uint64
		Seq, Rev uint64
		// What follows is absent in snapshots of older versions.
		Columns   map[config.Set][]string
		Overtaken dedup.Snapshot //words:frozen stored in snapshots
		Orders    dedup.Snapshot
	}
	storedEvacuation struct {
		Site   string //words:frozen stored in snapshots
		Active bool
		Rev    uint64
	}
	storedBinding struct {
		Service rpc.ServiceName
		Server  rpc.EndpointID
		Idle    time.Duration
		Seq     uint64
	}
	storedClaim struct {
		Key     string
		Request string
		Holder  string
		Life    uint64
	}
)

func storeEvacuation(e Evacuation) (stored storedEvacuation) {
	return storedEvacuation{Site: e.Zone, Active: e.Active, Rev: e.Revision}
}

func (e storedEvacuation) restore() (evacuation Evacuation) {
	return Evacuation{Zone: e.Site, Active: e.Active, Revision: e.Rev}
}

func storeBinding(b Binding) (stored storedBinding) {
	return storedBinding{Service: b.Service, Server: b.Endpoint, Idle: b.IdleTimeout, Seq: b.Sequence}
}

func (b storedBinding) restore() (binding Binding) {
	return Binding{Service: b.Service, Endpoint: b.Server, IdleTimeout: b.Idle, Sequence: b.Seq}
}

func storeClaim(c Claim) (stored storedClaim) {
	return storedClaim{Key: c.Key, Request: c.Request, Holder: c.Holder, Life: c.Incarnation}
}

func (c storedClaim) restore() (claim Claim) {
	return Claim{Key: c.Key, Request: c.Request, Holder: c.Holder, Incarnation: c.Life}
}

// Snapshot encodes the state for a snapshot.
func (s *State) Snapshot() (data []byte, err error) {
	stored := snapshotFormat{
		Canon:       s.Config.Items(),
		Evacuations: make(map[string]storedEvacuation, len(s.Evacuations)),
		Documents:   s.Documents,
		Retired:     s.Retirements,
		Move:        s.ScheduleStep,
		Bindings:    make(map[rpc.SessionID]storedBinding, len(s.bindings)),
		Seq:         s.sequence,
		Rev:         s.Revision,
		Columns:     s.Config.Columns(),
		Overtaken:   s.Config.Superseded.Snapshot(),
		Orders:      s.Accepted.Snapshot(),
	}
	for zone, evacuation := range s.Evacuations {
		stored.Evacuations[zone] = storeEvacuation(evacuation)
	}
	for session, binding := range s.bindings {
		stored.Bindings[session] = storeBinding(binding)
	}
	for _, claim := range s.claims.order {
		if s.claims.byKey[claim.Key] == claim {
			stored.Claims = append(stored.Claims, storeClaim(claim.Claim))
			stored.Seqs = append(stored.Seqs, claim.sequence)
		}
	}
	var buffer bytes.Buffer
	if err = gob.NewEncoder(&buffer).Encode(stored); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Restore reads a state from a snapshot; the ages of claims count from now. No data
// is an empty state.
func Restore(data []byte, now time.Duration) (state *State, err error) {
	state = NewState()
	if len(data) == 0 {
		return state, nil
	}
	var stored snapshotFormat
	if err = gob.NewDecoder(bytes.NewReader(data)).Decode(&stored); err != nil {
		return nil, ErrCorruptSnapshot.Wrap(err)
	}
	if err = state.restoreTables(stored); err != nil {
		return nil, err
	}
	maps.Copy(state.Documents, stored.Documents)
	maps.Copy(state.Retirements, stored.Retired)
	for zone, evacuation := range stored.Evacuations {
		state.Evacuations[zone] = evacuation.restore()
	}
	for session, binding := range stored.Bindings {
		state.bindings[session] = binding.restore()
	}
	state.ScheduleStep = stored.Move
	state.sequence, state.Revision = stored.Seq, stored.Rev
	if len(stored.Seqs) < len(stored.Claims) {
		return nil, ErrCorruptSnapshot.New("%d claims have %d sequence numbers", len(stored.Claims), len(stored.Seqs))
	}
	for i, claim := range stored.Claims {
		state.claims.add(&appliedClaim{Claim: claim.restore(), sequence: stored.Seqs[i], appliedAt: now})
	}
	return state, nil
}

// restoreTables restores the configuration and what was accepted.
func (s *State) restoreTables(stored snapshotFormat) (err error) {
	s.Config.SetColumns(stored.Columns)
	if err = s.Config.Restore(stored.Canon); err != nil {
		return err
	}
	if s.Config.Superseded, err = dedup.Restore(config.MaxSuperseded, stored.Overtaken); err != nil {
		return err
	}
	s.Accepted, err = dedup.Restore(maxAccepted, stored.Orders)
	return err
}
