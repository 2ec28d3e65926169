package peer

import (
	"context"
	"sync"

	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
)

// compressingPeer compresses the documents that the wrapped peer serves. Every
// instance fetches a document after it has changed, so compressingPeer keeps the
// compressed data of the latest version and compresses each version once.
type compressingPeer struct {
	peerpb.Peer

	mu         sync.Mutex
	compressed map[string]compressedDocument // by document key; guarded by mu
}

func newCompressingPeer(peer peerpb.Peer) *compressingPeer {
	return &compressingPeer{Peer: peer, compressed: make(map[string]compressedDocument)}
}

// compressedDocument holds one version of a document in compressed form.
type compressedDocument struct {
	revision int64
	digest   string
	data     []byte
}

// FetchDocument returns one control document, compressed unless it is small.
func (p *compressingPeer) FetchDocument(ctx context.Context, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	reply, err := p.Peer.FetchDocument(ctx, request)
	if err != nil || len(reply.GetData()) < minCompressBytes {
		return reply, err
	}
	data, err := p.compress(request.GetKey(), reply)
	if err != nil {
		return nil, err
	}
	reply.Data, reply.Gzip = data, true
	return reply, nil
}

// compress returns the compressed data of a reply, from the cache if it holds that
// version of the document.
func (p *compressingPeer) compress(key string, reply *peerpb.FetchDocumentReply) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := reply.GetVersion()
	cached, ok := p.compressed[key]
	if ok && cached.revision == version.GetRevision() && cached.digest == version.GetDigest() {
		return cached.data, nil
	}
	data, err := compress(reply.GetData())
	if err != nil {
		return nil, err
	}
	p.compressed[key] = compressedDocument{revision: version.GetRevision(), digest: version.GetDigest(), data: data}
	return data, nil
}
