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

// Bounds of the connections between instances.
const (
	dialTimeout = 500 * time.Millisecond
	pingAfter   = time.Second            // without a frame on a connection
	pingTimeout = 500 * time.Millisecond // then the connection is closed
	// idleConnTimeout is short because an idle connection costs pings: with 439
	// instances on both sides they would exceed the control plane's bytes.
	idleConnTimeout = 15 * time.Second
	maxFrameBytes   = 16 << 20
)

// searchPath is the route of the search stream.
const searchPath = "/peer/search"

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	scheme string
	http   *http.Client

	mu    sync.Mutex
	twirp map[string]peerpb.Peer // by address; guarded by mu
}

// NewClient returns a client. Without a TLS configuration it speaks cleartext
// HTTP/2.
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
	return &Client{scheme: scheme, http: &http.Client{Transport: &traceTransport{next: transport}}, twirp: make(map[string]peerpb.Peer)}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Peer returns the twirp client of an instance.
func (c *Client) Peer(to membership.Instance) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.twirp[to.Address]
	if !ok {
		client = peerpb.NewPeerProtobufClient(c.scheme+"://"+to.Address, c.http)
		c.twirp[to.Address] = client
	}
	return client
}

// Exchange sends one exchange of versions and notices.
func (c *Client) Exchange(ctx context.Context, to membership.Instance, request *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return c.Peer(to).Exchange(ctx, request)
}

// FetchDocument fetches one control document.
func (c *Client) FetchDocument(ctx context.Context, to membership.Instance, request *peerpb.FetchDocumentRequest) (*peerpb.FetchDocumentReply, error) {
	reply, err := c.Peer(to).FetchDocument(ctx, request)
	if err != nil {
		return nil, err
	}
	return reply, expand(reply)
}

// Search sends a search and passes each frame of the reply to emit. The error
// is nil when the last frame has arrived.
func (c *Client) Search(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest, emit owner.Emit) error {
	response, err := c.post(ctx, to, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("instance %s answered a search with status %d", to.ID, response.StatusCode)
	}
	return readFrames(bufio.NewReader(response.Body), emit)
}

func (c *Client) post(ctx context.Context, to membership.Instance, request *peerpb.SearchRequest) (*http.Response, error) {
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode search request")
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+to.Address+searchPath, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build search request")
	}
	post.Header.Set("Content-Type", "application/protobuf")
	response, err := c.http.Do(post)
	return response, eris.Wrapf(err, "send search to instance %s", to.ID)
}

func readFrames(reader *bufio.Reader, emit owner.Emit) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &peerpb.SearchFrame{}
		if err := options.UnmarshalFrom(reader, frame); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF // the last frame says that it is the last
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
