package raft

// MemoryDisk is what a replica's disk holds, for the tests of this package and
// for the simulation in raft_test.
type MemoryDisk struct {
	ID        ID
	HardState HardState
	Snapshot  Snapshot
	Log       map[Index]Entry
}

// Carry does one order of the replica; with loseVotes the hard state never arrives.
func (d *MemoryDisk) Carry(write Write, loseVotes bool) {
	if write.HardState != nil && !loseVotes {
		d.HardState = *write.HardState
	}
	if write.Snapshot != nil {
		d.Snapshot = *write.Snapshot
		for index := range d.Log {
			if index <= write.Snapshot.Index {
				delete(d.Log, index)
			}
		}
	}
	if write.TruncateFrom > 0 {
		for index := range d.Log {
			if index >= write.TruncateFrom {
				delete(d.Log, index)
			}
		}
	}
	for _, entry := range write.Entries {
		d.Log[entry.Index] = entry
	}
}
