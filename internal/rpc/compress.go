package rpc

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"tinpin/internal/config"
	"tinpin/internal/rpc/wire"
)

// What a node lacks after a start or a change of leader is long, goes over slow links,
// and is the same for all nodes: it is compressed once and sent to each.

// maxDecompressed bounds what compressed rows may grow to, in bytes.
const maxDecompressed = 64 << 20

// Compress gives the compressed form of rows.
func Compress[Row any](rows []Row) (compressed []byte, err error) {
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	if err = wire.Encode(gob.NewEncoder(writer), rows); err != nil {
		return nil, Class.Wrap(err)
	}
	if err = writer.Close(); err != nil {
		return nil, Class.Wrap(err)
	}
	return buffer.Bytes(), nil
}

// DecompressItems gives items of the configuration back.
func DecompressItems(compressed []byte) (items []config.Item, err error) {
	return Decompress[config.Item](compressed)
}

// Decompress gives rows back.
func Decompress[Row any](compressed []byte) (rows []Row, err error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	err = wire.Read(io.LimitReader(reader, maxDecompressed), &rows)
	return rows, Class.Wrap(err)
}
