// The duty that writes the disk, and what it reports back.
package raft

import (
	"os"
	"time"
	"tinpin/internal/eventlog"
)

// writeLoop is the duty that writes the disk.
func (n *Node) writeLoop() {
	defer n.goroutines.Done()
	for {
		var writes []Write
		select {
		case <-n.stop:
			return
		case writes = <-n.writes:
		}
		for more := true; more && len(writes) < 512; {
			select {
			case next := <-n.writes:
				writes = append(writes, next...)
			default:
				more = false
			}
		}
		for pause := 20 * time.Millisecond; ; pause *= 2 {
			err := n.store.Write(writes)
			if err == nil {
				break
			}
			n.log.Emit(eventlog.DiskWriteFailed, eventlog.KeyError, err.Error())
			select {
			case n.calls <- func() { n.handleOutput(n.raft.TransferLeadership()) }:
			default:
			}
			if pause > time.Second {
				os.Exit(1)
			}
			time.Sleep(pause)
		}
		for _, write := range writes {
			for _, message := range write.AfterSync {
				n.send(message)
			}
		}
		select {
		case n.syncedWrites <- len(writes):
		case <-n.stop:
			return
		}
	}
}
