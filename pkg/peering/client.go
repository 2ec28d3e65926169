package peering

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/sycamorelift/sycamorelift/pkg/peering/peeringpb"
)

const (
	// dialTimeout bounds the opening of a connection between instances.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout closes unused connections. It is long, because a new connection costs
	// two round trips between zones.
	idleTimeout = 5 * time.Minute
	// maxIdleConnsPerPeer is the number of idle connections kept to each instance;
	// concurrent requests use one connection each.
	maxIdleConnsPerPeer = 8
	// maxMessageBytes bounds the body of a call to another instance, and one frame of a
	// reply to a call for parts. The reply to a watch, which can hold all items of the
	// store, has only the bound of all replies, maxReplyBytes.
	maxMessageBytes = 16 << 20
	// partsPath is the path of the call for parts of an answer.
	partsPath = "/parts"
)

// frameDecoder reads the frames of a reply to a call for parts.
var frameDecoder = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

// Client calls other instances. It uses HTTP/1.1, so that a connection that has become
// unresponsive fails only the one call that uses it. It is safe for concurrent use.
type Client struct {
	http *http.Client

	mu    sync.Mutex
	peers map[string]peeringpb.Peering // by address
}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		http: &http.Client{Transport: &boundedTransport{bytes: maxReplyBytes, next: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			DisableCompression:  true,
		}}},
		peers: make(map[string]peeringpb.Peering),
	}
}

func (c *Client) peer(address string) peeringpb.Peering {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = peeringpb.NewPeeringProtobufClient("http://"+address, c.http)
		c.peers[address] = p
	}
	return p
}

// Exchange sends an exchange message and returns the reply.
func (c *Client) Exchange(ctx context.Context, address string, m *peeringpb.ExchangeMessage) (*peeringpb.ExchangeMessage, error) {
	return c.peer(address).Exchange(ctx, m)
}

// Watch asks an instance for all items of the store, or for changes to them.
func (c *Client) Watch(ctx context.Context, address string, m *peeringpb.WatchRequest) (*peeringpb.WatchReply, error) {
	return c.peer(address).Watch(ctx, m)
}

// ConfirmTable asks an instance whether a table is the newest one.
func (c *Client) ConfirmTable(ctx context.Context, address string, m *peeringpb.ConfirmTableRequest) (*peeringpb.ConfirmTableReply, error) {
	return c.peer(address).ConfirmTable(ctx, m)
}

// Parts asks an instance for parts of an answer. It calls accepted when the header of
// the reply shows that the instance works on the call, and receive for each frame. The
// error is nil when the final frame has arrived.
func (c *Client) Parts(ctx context.Context, address string, m *peeringpb.PartsRequest, accepted func(), receive func(*peeringpb.PartsReply)) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode request for parts")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+partsPath, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build request for parts")
	}
	// Traffic between zones is charged by the byte, so unneeded header fields are left
	// out.
	request.Header["User-Agent"] = nil
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "send request for parts")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("request for parts failed with status %d", response.StatusCode)
	}
	accepted()
	reader := bufio.NewReader(response.Body)
	for final := false; !final; {
		frame := &peeringpb.PartsReply{}
		if err := frameDecoder.UnmarshalFrom(reader, frame); err != nil {
			return eris.Wrap(err, "read reply to request for parts")
		}
		receive(frame)
		final = frame.GetFinal()
	}
	// The transport reuses the connection only if the body has been read to its end.
	_, err = io.Copy(io.Discard, reader)
	return eris.Wrap(err, "read end of reply to request for parts")
}
