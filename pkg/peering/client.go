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
	// idleTimeout closes connections that are not used. It is long, because a new one
	// costs two round trips between zones.
	idleTimeout = 5 * time.Minute
	// idlePerPeer is the number of connections kept for each instance; requests
	// that come together use one each.
	idlePerPeer = 8
	// maxMessageBytes bounds one message: a page of items of the store.
	maxMessageBytes = 16 << 20
	// partsPath is the call for parts of an answer.
	partsPath = "/parts"
)

// frames reads the frames of a reply.
var frames = protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}

// Client calls other instances. Messages use HTTP/1.1, so that a connection that
// has become silent is given up together with the one call that met it. It is
// safe for concurrent use.
type Client struct {
	http *http.Client

	mu    sync.Mutex
	peers map[string]peeringpb.Peering // by address
}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idlePerPeer,
			DisableCompression:  true,
		}},
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

// Exchange sends one exchange.
func (c *Client) Exchange(ctx context.Context, address string, m *peeringpb.ExchangeMessage) (*peeringpb.ExchangeMessage, error) {
	return c.peer(address).Exchange(ctx, m)
}

// Watch asks for changes of the store.
func (c *Client) Watch(ctx context.Context, address string, m *peeringpb.WatchRequest) (*peeringpb.WatchReply, error) {
	return c.peer(address).Watch(ctx, m)
}

// Parts asks for parts of an answer. Accepted is called when the header of the
// reply shows that the instance works on it, receive for each frame. The error is
// nil when the final frame has arrived.
func (c *Client) Parts(ctx context.Context, address string, m *peeringpb.PartsRequest, accepted func(), receive func(*peeringpb.PartsReply)) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode request for parts")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+partsPath, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build request for parts")
	}
	// Bytes between zones are priced, so fields without use are left out.
	request.Header["User-Agent"] = nil
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "ask for parts")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("instance answers a request for parts with status %d", response.StatusCode)
	}
	accepted()
	reader := bufio.NewReader(response.Body)
	for final := false; !final; {
		frame := &peeringpb.PartsReply{}
		if err := frames.UnmarshalFrom(reader, frame); err != nil {
			return eris.Wrap(err, "read parts")
		}
		receive(frame)
		final = frame.GetFinal()
	}
	// Reading to the end lets the connection be used again.
	_, err = io.Copy(io.Discard, reader)
	return eris.Wrap(err, "read the end of parts")
}
