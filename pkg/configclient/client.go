// Package configclient reads the platform's configuration service: single
// documents by key, and a watch that reports which keys have changed. The
// service is read-only and limits the calls of all readers together.
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
	// getTimeout bounds one read. The service responds within milliseconds, so
	// a longer silence means that the connection is broken.
	getTimeout = 1 * time.Second
	// watchGrace is added to the wait of a watch before it counts as broken.
	watchGrace = 500 * time.Millisecond
	// maxErrorBytes bounds how much of an error reply is drained, so that the
	// connection can be used again.
	maxErrorBytes = 4 << 10
)

// Client reads the configuration service. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client of the service at baseURL, for example
// http://10.0.0.1:8500. All calls go through hc.
func New(baseURL string, hc *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: hc}
}

// Get returns the current value of key. Errors are *NotFoundError,
// *OverLimitError, *BadReplyError or a transport error.
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

// Watch waits until a key is newer than the revision after and returns the
// revisions of the keys. When wait passes without a change it returns a Change
// without keys and with the revision after. Errors are as for Get.
func (c *Client) Watch(ctx context.Context, after int64, wait time.Duration) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatInt(after, 10))
	query.Set("wait", wait.String())
	reply, err := c.call(ctx, "/v1/watch?"+query.Encode())
	if err != nil {
		return Change{}, err
	}
	defer closeBody(reply)
	if reply.StatusCode == http.StatusNotModified {
		return Change{Revision: after}, nil
	}
	if err := checkStatus(reply); err != nil {
		return Change{}, err
	}
	data, err := readBody(reply)
	if err != nil {
		return Change{}, err
	}
	return parseChange(data)
}

func (c *Client) call(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "configuration service request")
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "configuration service")
	}
	return reply, nil
}

// checkStatus returns the error of a reply that is not 200.
func checkStatus(reply *http.Response) error {
	switch reply.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusTooManyRequests:
		return &OverLimitError{}
	default:
		return &BadReplyError{Detail: "status " + reply.Status}
	}
}

// readBody reads a value within the size limit.
func readBody(reply *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reply.Body, MaxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "configuration service reply")
	}
	if len(data) > MaxDocumentBytes {
		return nil, &BadReplyError{Detail: fmt.Sprintf("value above %d bytes", MaxDocumentBytes)}
	}
	return data, nil
}

func parseETag(tag string) (int64, error) {
	revision, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil || revision < 0 {
		return 0, &BadReplyError{Detail: "ETag " + strconv.Quote(tag) + " is no revision"}
	}
	return revision, nil
}

func parseChange(data []byte) (Change, error) {
	var change Change
	if err := json.Unmarshal(data, &change); err != nil {
		return Change{}, &BadReplyError{Detail: "watch: " + err.Error()}
	}
	return change, nil
}

// escapeKey escapes each element of the key; the slashes separate them.
func escapeKey(key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}

// closeBody drains a bounded rest, so that the connection can be used again.
func closeBody(reply *http.Response) {
	_, _ = io.CopyN(io.Discard, reply.Body, maxErrorBytes)
	_ = reply.Body.Close()
}
