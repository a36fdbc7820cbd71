// The scribe writes a batch of commands as the bytes of one log entry and
// reads them back: lengths as varints, texts as they are. It is small because
// every claimed key passes through it on every core.
package raft

import (
	"encoding/binary"

	"github.com/zeebo/errs"
)

// Class marks the errors of the agreement.
var Class = errs.Class("accord")

func appendNumber(to []byte, number uint64) []byte { return binary.AppendUvarint(to, number) }

func putText[T ~string | ~[]byte](to []byte, text T) []byte {
	to = binary.AppendUvarint(to, uint64(len(text)))
	return append(to, text...)
}

// EncodeCommands writes commands.
func EncodeCommands(commands []Command) (data []byte) {
	data = binary.AppendUvarint(nil, uint64(len(commands)))
	for _, command := range commands {
		data = append(data, byte(command.Kind))
		data = putText(data, command.Body)
		data = putText(data, command.Site)
		data = putText(data, command.Key)
		data = putText(data, command.Request)
		data = putText(data, command.Holder)
		data = binary.AppendUvarint(data, command.Life)
		data = binary.AppendUvarint(data, command.Upto)
	}
	return data
}

type reader struct {
	data []byte
	bad  bool
}

func (r *reader) number() (number uint64) {
	number, size := binary.Uvarint(r.data)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.data = r.data[size:]
	return number
}

func (r *reader) text() (text []byte) {
	size := r.number()
	if r.bad || size > uint64(len(r.data)) {
		r.bad = true
		return nil
	}
	text, r.data = r.data[:size], r.data[size:]
	return text
}

// DecodeCommands reads what Inscribe wrote.
func DecodeCommands(data []byte) (commands []Command, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	r := &reader{data: data}
	count := r.number()
	for i := uint64(0); i < count && !r.bad; i++ {
		var command Command
		if len(r.data) == 0 {
			r.bad = true
			break
		}
		command.Kind, r.data = CommandKind(r.data[0]), r.data[1:]
		command.Body = r.text()
		command.Site = string(r.text())
		command.Key = string(r.text())
		command.Request = string(r.text())
		command.Holder = string(r.text())
		command.Life = r.number()
		command.Upto = r.number()
		commands = append(commands, command)
	}
	if r.bad || len(r.data) != 0 {
		return nil, Class.New("log entry cannot be read")
	}
	return commands, nil
}
