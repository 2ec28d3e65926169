package peer

import (
	"context"
	"sync"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// compressingPeer compresses the documents that a peer serves. A change makes
// every instance transfer the document, so each version is compressed once.
type compressingPeer struct {
	peerpb.Peer

	mu         sync.Mutex
	compressed map[string]compressedDocument // by key; guarded by mu
}

func newCompressingPeer(peer peerpb.Peer) *compressingPeer {
	return &compressingPeer{Peer: peer, compressed: make(map[string]compressedDocument)}
}

// compressedDocument is the latest compressed version of a document.
type compressedDocument struct {
	revision int64
	digest   string
	data     []byte
}

// FetchDocument returns one control document.
func (p *compressingPeer) FetchDocument(ctx context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	reply, err := p.Peer.FetchDocument(ctx, request)
	if err != nil || len(reply.GetData()) < leastCompressed {
		return reply, err
	}
	data, err := p.compress(request.GetKey(), reply)
	if err != nil {
		return nil, err
	}
	reply.Data, reply.Gzip = data, true
	return reply, nil
}

func (p *compressingPeer) compress(key string, reply *peerpb.FetchDocumentReply) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := reply.GetVersion()
	known, ok := p.compressed[key]
	if ok && known.revision == version.GetRevision() && known.digest == version.GetDigest() {
		return known.data, nil
	}
	data, err := compress(reply.GetData())
	if err != nil {
		return nil, err
	}
	p.compressed[key] = compressedDocument{revision: version.GetRevision(), digest: version.GetDigest(), data: data}
	return data, nil
}
