package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
)

// documentService serves the same document for every key.
type documentService struct {
	peerpb.Peer
	reply *peerpb.FetchDocumentReply
}

func (s *documentService) FetchDocument(context.Context, *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	return &peerpb.FetchDocumentReply{Version: s.reply.Version, Data: s.reply.Data, Gzip: s.reply.Gzip}, nil
}

// membersDocument returns the platform's list of members at the target size of
// 440 instances and 1,900 backend servers.
func membersDocument() []byte {
	var m membership.Members
	for i := range 440 {
		m.Instances = append(m.Instances, membership.Instance{ID: fmt.Sprintf("i%03d", i), Region: "r1", Zone: "z1", Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), State: membership.StateLive})
	}
	for i := range 1900 {
		m.BackendServers = append(m.BackendServers, membership.BackendServer{ID: fmt.Sprintf("search-s%04d-r%d", i/2, i%2), Team: "office", Service: "search", Shard: i / 2, Replica: i % 2, Region: "r1", Zone: "z1", Rack: fmt.Sprintf("rack-%d", i%40), Address: fmt.Sprintf("10.1.%d.%d:8000", i/256, i%256), State: membership.StateLive})
	}
	data, _ := json.Marshal(m)
	return data
}

// fetchDocument serves the stored document over HTTP/2 and fetches it twice. It
// returns the reply as the server sends it, and the reply and the error that
// Client.FetchDocument returns.
func fetchDocument(t *testing.T, stored *peerpb.FetchDocumentReply) (sent, reply *peerpb.FetchDocumentReply, err error) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := httptest.NewUnstartedServer(NewServer(&documentService{reply: stored}, nil, nil, noop.NewTracerProvider().Tracer("")))
	server.Config.Protocols = protocols
	server.Start()
	defer server.Close()
	client := NewClient(nil)
	defer client.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	to := membership.Instance{ID: "i", Address: address}
	request := &peerpb.FetchDocumentRequest{Key: "members"}
	sent, err = client.Peer(to).FetchDocument(context.Background(), request)
	assert.NilError(t, err)
	reply, err = client.FetchDocument(context.Background(), to, request)
	return sent, reply, err
}

// Guards against a document that is altered by compression, and against a list of
// members at the target size that is sent at more than a tenth of its size.
func TestDocumentsAreSentCompressed(t *testing.T) {
	data := membersDocument()
	sent, reply, err := fetchDocument(t, &peerpb.FetchDocumentReply{Version: &peerpb.DocumentVersion{Revision: 3, Digest: "d"}, Data: data})
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(reply.Data, data))
	assert.Assert(t, 10*len(sent.Data) < len(data), "%d of %d bytes", len(sent.Data), len(data))
}

// Guards against a small message that decompresses to a document of any size, and
// against damaged data that is accepted as a document.
func TestDecompressedSizeIsBounded(t *testing.T) {
	large, err := compress(make([]byte, 4<<20))
	assert.NilError(t, err)
	_, _, err = fetchDocument(t, &peerpb.FetchDocumentReply{Data: large[:900], Gzip: true})
	assert.ErrorContains(t, err, "decompress document")
	assert.ErrorContains(t, decompress(&peerpb.FetchDocumentReply{Data: large, Gzip: true}), "exceeds")
}
