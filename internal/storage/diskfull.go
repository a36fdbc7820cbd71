package storage

// A write that meets a full disk is held until there is space and then carried out, so that a
// full disk is to the consensus what a stalled one is: the controller transfers leadership,
// casts no vote, goes on following, and neither stops nor loses its membership. Any other
// failure of a write still ends the controller.

import (
	"errors"
	"time"

	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/eventlog"
)

const (
	// minFreeBytes is how much must fit before writes go on: what the log and the
	// tables may want next.
	minFreeBytes       = 1 << 20
	spaceCheckInterval = 100 * time.Millisecond
)

// SpaceWaiter holds writes to a folder while its disk is full.
type SpaceWaiter struct {
	Folder string
	// Full is called with true when writes begin to wait, and with false when they go on.
	Full func(waits bool)
	// Pause waits before the next look for space.
	Pause func()
}

// Wrap returns a file system whose writes wait while the disk of fs is full.
func (r SpaceWaiter) Wrap(fs vfs.FS) (waiting vfs.FS) {
	return vfs.OnDiskFull(fs, func() {
		r.Full(true)
		for r.Pause(); r.probe(fs) != nil; r.Pause() {
		}
		r.Full(false)
	})
}

// probe writes minFreeBytes to a file of its own and removes it.
func (r SpaceWaiter) probe(fs vfs.FS) (err error) {
	name := fs.PathJoin(r.Folder, "room")
	file, err := fs.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, minFreeBytes))
	return errors.Join(err, file.Close(), fs.Remove(name))
}

// WaitingFS is the file system of a controller. A controller that ends while its disk is
// full leaves the write where it waits.
func WaitingFS(folder string, log *eventlog.Logger) (fs vfs.FS) {
	return SpaceWaiter{
		Folder: folder, Full: func(waits bool) { log.Emit(eventlog.DiskFull, "paused", waits) }, Pause: func() { time.Sleep(spaceCheckInterval) },
	}.Wrap(vfs.Default)
}
