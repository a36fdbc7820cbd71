package storage

// Room is what a store waits for on a full disk. A write that finds none is held
// until there is some and then carried out, so that a full disk is to the
// agreement what a stalled one is: the core hands leadership over, votes on
// nothing and goes on following, and neither ends nor loses its place. Any other
// failure of a write still ends the core.

import (
	"errors"
	"time"

	"github.com/cockroachdb/pebble/vfs"

	"tinpin/internal/eventlog"
)

const (
	// roomLeast is how much must fit before writes go on: what the log and the
	// tables may want next.
	roomLeast = 1 << 20
	roomPause = 100 * time.Millisecond
)

// Room looks for room in a folder.
type Room struct {
	Folder string
	// Full is told when writes begin to wait, and again when they go on.
	Full func(waits bool)
	// Pause waits a while before it looks again.
	Pause func()
}

// On gives a file system whose writes wait for room on another.
func (r Room) On(fs vfs.FS) (waiting vfs.FS) {
	return vfs.OnDiskFull(fs, func() {
		r.Full(true)
		for r.Pause(); r.try(fs) != nil; r.Pause() {
		}
		r.Full(false)
	})
}

// try writes as much as is wanted to a file of its own and removes it.
func (r Room) try(fs vfs.FS) (err error) {
	name := fs.PathJoin(r.Folder, "room")
	file, err := fs.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, roomLeast))
	return errors.Join(err, file.Close(), fs.Remove(name))
}

// RoomFor is the file system of a controller. A controller that ends while its disk is
// full leaves the write where it waits.
func RoomFor(folder string, log *eventlog.Logger) (fs vfs.FS) {
	return Room{
		Folder: folder, Full: func(waits bool) { log.Emit(eventlog.DiskFull, "paused", waits) }, Pause: func() { time.Sleep(roomPause) },
	}.On(vfs.Default)
}
