// The duty that writes the disk, and what it reports back.
package raft

import (
	"os"
	"time"
	"tinpin/internal/eventlog"
)

// scribe is the duty that writes the disk.
func (n *Node) scribe() {
	defer n.stopped.Done()
	for {
		var writes []Write
		select {
		case <-n.stop:
			return
		case writes = <-n.disk:
		}
		for more := true; more && len(writes) < 512; {
			select {
			case next := <-n.disk:
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
			case n.tells <- func() { n.carry(n.raft.TransferLeadership()) }:
			default:
			}
			if pause > time.Second {
				os.Exit(1)
			}
			time.Sleep(pause)
		}
		for _, write := range writes {
			for _, message := range write.AfterSync {
				n.post(message)
			}
		}
		select {
		case n.synced <- len(writes):
		case <-n.stop:
			return
		}
	}
}
