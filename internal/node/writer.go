package node

import (
	"os"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/raft"
)

// writeLoop carries out the writes of the replica, sends what waited for their sync, and
// reports them as synced. It alone calls Store.Write.
func (n *Node) writeLoop() {
	defer n.goroutines.Done()
	for {
		var writes []raft.Write
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
