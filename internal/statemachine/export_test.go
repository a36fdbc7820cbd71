package statemachine

// SnapshotFormat is the form of a stored state.
type SnapshotFormat = snapshotFormat
