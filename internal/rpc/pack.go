// Pack makes many items small for the way: what a fellow lacks after a start or
// a change of leader goes over links that are slow, and the same to all, so it
// is packed once and told to each.
package rpc

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"tinpin/internal/config"
	"tinpin/internal/rpc/wire"
)

// maxDecompressed bounds what a packed part may grow to.
const maxDecompressed = 64 << 20

// Compress packs rows.
func Compress[Row any](items []Row) (packed []byte, err error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if err = wire.Encode(gob.NewEncoder(writer), items); err != nil {
		return nil, Class.Wrap(err)
	}
	if err = writer.Close(); err != nil {
		return nil, Class.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// DecompressItems gives the items of the configuration back.
func DecompressItems(packed []byte) (items []config.Item, err error) {
	return Decompress[config.Item](packed)
}

// Decompress gives rows back.
func Decompress[Row any](packed []byte) (items []Row, err error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	err = wire.Read(io.LimitReader(reader, maxDecompressed), &items)
	return items, Class.Wrap(err)
}
