// Package configclient is a client for the platform's configuration service. It
// gets single documents by key and watches for changes. The service is read-only
// and has one rate limit for the calls of all its readers together.
package configclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// MaxDocumentBytes is the largest value that the service stores.
	MaxDocumentBytes = 1 << 20
	// getTimeout limits one Get. The service responds within milliseconds, so a
	// call that takes longer means that the connection is broken.
	getTimeout = 1 * time.Second
	// watchGrace is the time for the reply to a watch to arrive after the wait is
	// over, before the watch is given up.
	watchGrace = 500 * time.Millisecond
	// maxDrainBytes limits how much of an unread reply body closeBody reads. The
	// connection can be reused only if the body has been read to its end.
	maxDrainBytes = 4 << 10
)

// Client reads documents from the configuration service. It is safe for concurrent
// use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the service at baseURL, for example
// http://10.0.0.1:8500, that sends all calls through httpClient.
func New(baseURL string, httpClient *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: httpClient}
}

// Get returns the current value of key. Errors are *NotFoundError,
// *RateLimitedError, *BadReplyError or a transport error.
func (c *Client) Get(ctx context.Context, key string) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	reply, err := c.call(ctx, "/v1/keys/"+escapeKey(key))
	if err != nil {
		return Document{}, err
	}
	defer closeBody(reply)
	if reply.StatusCode == http.StatusNotFound {
		return Document{}, &NotFoundError{Key: key}
	}
	if err := checkStatus(reply); err != nil {
		return Document{}, err
	}
	revision, err := parseETag(reply.Header.Get("ETag"))
	if err != nil {
		return Document{}, err
	}
	data, err := readBody(reply)
	if err != nil {
		return Document{}, err
	}
	return Document{Key: key, Revision: revision, Data: data}, nil
}

// Watch waits until a key has a higher revision than after, and returns the
// revisions of all keys. If no key changes within wait, it returns a WatchReply
// without keys whose Revision is after. Its errors are those of Get except
// *NotFoundError.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (WatchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait", wait.String())
	reply, err := c.call(ctx, "/v1/watch?"+query.Encode())
	if err != nil {
		return WatchReply{}, err
	}
	defer closeBody(reply)
	if reply.StatusCode == http.StatusNotModified {
		return WatchReply{Revision: after}, nil
	}
	if err := checkStatus(reply); err != nil {
		return WatchReply{}, err
	}
	data, err := readBody(reply)
	if err != nil {
		return WatchReply{}, err
	}
	return parseWatchReply(data)
}

func (c *Client) call(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build configuration service request")
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "call configuration service")
	}
	return reply, nil
}

// checkStatus returns nil for status 200 and otherwise the error that the status
// stands for.
func checkStatus(reply *http.Response) error {
	switch reply.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return &RateLimitedError{}
	default:
		return &BadReplyError{Detail: "status " + reply.Status}
	}
}

// readBody returns the body of a reply, or an error if it exceeds MaxDocumentBytes.
func readBody(reply *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reply.Body, MaxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read configuration service reply")
	}
	if len(data) > MaxDocumentBytes {
		return nil, &BadReplyError{Detail: fmt.Sprintf("body exceeds %d bytes", MaxDocumentBytes)}
	}
	return data, nil
}

func parseETag(tag string) (int64, error) {
	revision, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil || revision < 0 {
		return 0, &BadReplyError{Detail: "ETag " + strconv.Quote(tag) + " is not a revision"}
	}
	return revision, nil
}

func parseWatchReply(data []byte) (WatchReply, error) {
	var reply WatchReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return WatchReply{}, &BadReplyError{Detail: "malformed watch reply: " + err.Error()}
	}
	return reply, nil
}

// escapeKey escapes each element of a key for use in a path. Slashes separate the
// elements and are kept.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// closeBody reads up to maxDrainBytes of the rest of the body before it closes it,
// so that the connection can be reused.
func closeBody(reply *http.Response) {
	_, _ = io.CopyN(io.Discard, reply.Body, maxDrainBytes)
	_ = reply.Body.Close()
}
