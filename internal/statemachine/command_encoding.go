package statemachine

import (
	"encoding/binary"

	"github.com/zeebo/errs"

	"tinpin/internal/binaryformat"
)

// ErrMalformed marks the data of a log entry that cannot be read as commands.
var ErrMalformed = errs.Class("malformed log entry")

// A batch of commands is the data of one log entry: numbers and lengths as varints,
// texts as they are. The encoding is small because every claimed key passes through it
// on every controller. Stored logs have this form, so that it must not change.

// EncodeCommands writes commands.
func EncodeCommands(commands []Command) (data []byte) {
	data = binary.AppendUvarint(nil, uint64(len(commands)))
	for _, command := range commands {
		data = append(data, byte(command.Kind))
		data = binaryformat.AppendBytes(data, command.Body)
		data = binaryformat.AppendBytes(data, command.Subject)
		data = binaryformat.AppendBytes(data, command.Key)
		data = binaryformat.AppendBytes(data, command.Request)
		data = binaryformat.AppendBytes(data, command.Holder)
		data = binary.AppendUvarint(data, command.Incarnation)
		data = binary.AppendUvarint(data, command.Number)
	}
	return data
}

// DecodeCommands reads what EncodeCommands wrote.
func DecodeCommands(data []byte) (commands []Command, err error) {
	if len(data) == 0 {
		return nil, nil
	}
	r := &binaryformat.Reader{Rest: data}
	count := r.Uint()
	for i := uint64(0); i < count && !r.Malformed; i++ {
		var command Command
		if len(r.Rest) == 0 {
			r.Malformed = true
			break
		}
		command.Kind, r.Rest = CommandKind(r.Rest[0]), r.Rest[1:]
		command.Body = r.Bytes()
		command.Subject = string(r.Bytes())
		command.Key = string(r.Bytes())
		command.Request = string(r.Bytes())
		command.Holder = string(r.Bytes())
		command.Incarnation = r.Uint()
		command.Number = r.Uint()
		commands = append(commands, command)
	}
	if r.Malformed || len(r.Rest) != 0 {
		return nil, ErrMalformed.New("%d bytes are no list of commands", len(data))
	}
	return commands, nil
}
