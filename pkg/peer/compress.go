package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// minCompressBytes is the smallest document that is compressed: with smaller
	// ones, compression would not reduce the number of network packets.
	minCompressBytes = 1 << 10
	// maxDocumentBytes is the configuration service's limit on the size of a value.
	// The limit is given as 1 MB, which may be rounded, so 1 MiB is allowed.
	maxDocumentBytes = 1 << 20
)

// compress returns data compressed with gzip.
func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return buffer.Bytes(), nil
}

// decompress replaces the compressed data of a reply by the document itself. It
// limits the document's size so that a small message cannot exhaust the memory.
func decompress(reply *peerpb.FetchDocumentReply) error {
	if !reply.GetGzip() {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetData()))
	if err != nil {
		return eris.Wrap(err, "decompress document")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return eris.Wrap(err, "decompress document")
	}
	if len(data) > maxDocumentBytes {
		return eris.Errorf("decompressed document exceeds %d bytes", maxDocumentBytes)
	}
	reply.Data, reply.Gzip = data, false
	return nil
}
