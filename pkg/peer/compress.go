package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

const (
	// leastCompressed is the size below which compression saves no packet.
	leastCompressed = 1 << 10
	// maxDocumentBytes is the configuration service's limit on a value, with
	// room for the rounding of 1 MB.
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

// expand replaces compressed data of a reply by the document. The size is
// bounded, so that a small message cannot fill the memory.
func expand(reply *peerpb.FetchDocumentReply) error {
	if !reply.GetGzip() {
		return nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetData()))
	if err != nil {
		return eris.Wrap(err, "expand document")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return eris.Wrap(err, "expand document")
	}
	if len(data) > maxDocumentBytes {
		return eris.Errorf("expanded document exceeds %d bytes", maxDocumentBytes)
	}
	reply.Data, reply.Gzip = data, false
	return nil
}
