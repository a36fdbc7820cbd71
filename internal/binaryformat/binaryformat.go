// Package binaryformat holds the primitives of the byte encodings that the
// replicated log is stored and sent in: varints, byte strings behind their length,
// and the crc32c that guards both. What a record consists of is known to the
// packages that write it. The functions keep no state.
package binaryformat

import (
	"encoding/binary"
	"hash/crc32"
)

// AppendUint appends a number as an unsigned varint.
func AppendUint(to []byte, number uint64) []byte { return binary.AppendUvarint(to, number) }

// AppendBytes appends a byte string behind its length.
func AppendBytes[T ~string | ~[]byte](to []byte, text T) []byte {
	to = binary.AppendUvarint(to, uint64(len(text)))
	return append(to, text...)
}

// Reader reads what the Append functions wrote. After a read past the end, or of
// a malformed number, Malformed is set and stays so.
type Reader struct {
	Rest      []byte
	Malformed bool
}

// Uint reads a number.
func (r *Reader) Uint() (number uint64) {
	number, size := binary.Uvarint(r.Rest)
	if size <= 0 {
		r.Malformed = true
		return 0
	}
	r.Rest = r.Rest[size:]
	return number
}

// Bytes reads a byte string; it shares its memory with Rest.
func (r *Reader) Bytes() (text []byte) {
	size := r.Uint()
	if r.Malformed || size > uint64(len(r.Rest)) {
		r.Malformed = true
		return nil
	}
	text, r.Rest = r.Rest[:size], r.Rest[size:]
	return text
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum is the crc32c of data.
func Checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// ExtendChecksum is the crc32c of data that follows what sum was taken of.
func ExtendChecksum(sum uint32, data []byte) uint32 { return crc32.Update(sum, castagnoli, data) }
