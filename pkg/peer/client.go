package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sycamorelift/sycamorelift/pkg/membership"
	"github.com/sycamorelift/sycamorelift/pkg/owner"
	"github.com/sycamorelift/sycamorelift/pkg/peer/peerpb"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Limits of the connections between instances.
const (
	dialTimeout = 500 * time.Millisecond
	// pingAfter is how long a connection may receive no frame before a ping is
	// sent.
	pingAfter = time.Second
	// pingTimeout is how long a ping may stay unanswered before the connection is
	// closed.
	pingTimeout = 500 * time.Millisecond
	// idleConnTimeout is short because idle connections are pinged too. With idle
	// connections to and from 439 other instances (878 at 34 B/s each), the pings
	// would exceed the budget of about 9 KB/s for an instance's control traffic.
	idleConnTimeout = 15 * time.Second
	maxFrameBytes   = 16 << 20
)

// searchPath is the HTTP path of searches, whose replies are streams of frames.
const searchPath = "/peer/search"

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	scheme string
	http   *http.Client

	mu           sync.Mutex
	twirpClients map[string]peerpb.Peer // by instance address; guarded by mu
}

// NewClient returns a client that speaks HTTP/2 over TLS, or in cleartext if
// tlsConfig is nil.
func NewClient(tlsConfig *tls.Config) *Client {
	protocols := new(http.Protocols)
	scheme := "http"
	if tlsConfig != nil {
		scheme = "https"
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:     dialer.DialContext,
		TLSClientConfig: tlsConfig,
		Protocols:       protocols,
		IdleConnTimeout: idleConnTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{scheme: scheme, http: &http.Client{Transport: &traceTransport{next: transport}}, twirpClients: make(map[string]peerpb.Peer)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Peer returns the twirp client for an instance.
func (c *Client) Peer(to membership.Instance) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.twirpClients[to.Address]
	if !ok {
		client = peerpb.NewPeerProtobufClient(c.scheme+"://"+to.Address, c.http)
		c.twirpClients[to.Address] = client
	}
	return client
}

// Exchange sends this instance's document versions and notices to another
// instance and returns those that this instance lacks.
func (c *Client) Exchange(ctx context.Context, to membership.Instance, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return c.Peer(to).Exchange(ctx, request)
}

// FetchDocument fetches one control document and decompresses it.
func (c *Client) FetchDocument(ctx context.Context, to membership.Instance, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	reply, err := c.Peer(to).FetchDocument(ctx, request)
	if err != nil {
		return nil, err
	}
	return reply, decompress(reply)
}

// Search sends a search to an instance and passes each frame of the reply to
// emit. It returns nil only after the last frame has arrived; an error of emit
// ends the search.
func (c *Client) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	response, err := c.postSearch(ctx, to, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("instance %s answered a search with status %d", to.ID, response.StatusCode)
	}
	return readFrames(bufio.NewReader(response.Body), emit)
}

func (c *Client) postSearch(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest) (*http.Response, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode search request")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+to.Address+searchPath, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build search request")
	}
	httpRequest.Header.Set("Content-Type", "application/protobuf")
	response, err := c.http.Do(httpRequest)
	return response, eris.Wrapf(err, "send search to instance %s", to.ID)
}

// readFrames passes frames to emit up to and including the one marked as last.
func readFrames(reader *bufio.Reader, emit owner.Emit) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &peerpb.SearchFrame{}
		if err := options.UnmarshalFrom(reader, frame); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF // the stream ended without a frame marked as last
			}
			return eris.Wrap(err, "read search frame")
		}
		if err := emit(frame); err != nil {
			return err
		}
		if frame.Last {
			return nil
		}
	}
}
