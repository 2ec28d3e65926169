package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sycamorelift/sycamorelift/pkg/entry"
	"github.com/sycamorelift/sycamorelift/pkg/settings"
)

// connection holds the options that say how to reach an instance.
type connection struct {
	Instance string        `long:"instance" description:"address of the instance or load balancer: IP:port or URL" env:"SYCAMORELIFT_INSTANCE" required:"true"`
	CA       string        `long:"ca" description:"file with the CA certificates of the instance"`
	Timeout  time.Duration `long:"timeout" description:"longest wait for one reply" default:"10s"`
}

// maxReplyBytes bounds a reply that is read into memory.
const maxReplyBytes = 64 << 20

// httpClient returns a client that opens a new connection for every request,
// so that none is sent on a connection that no longer responds.
func (c connection) httpClient() (*http.Client, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	if c.CA != "" {
		config, err := settings.TLSFiles{CA: c.CA}.ClientConfig()
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	return &http.Client{Transport: transport, Timeout: c.Timeout, CheckRedirect: noRedirect}, nil
}

// noRedirect keeps a token from being sent to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c connection) url(path string) string {
	base := c.Instance
	if !strings.Contains(base, "://") {
		scheme := "http://"
		if c.CA != "" {
			scheme = "https://"
		}
		base = scheme + base
	}
	return strings.TrimSuffix(base, "/") + path
}

// call is one request to an instance and the value that its reply is read into.
type call struct {
	method string
	path   string
	header http.Header
	body   any // nil for none
	reply  any
}

// do sends the call. The error is an *entry.Refusal when the instance refused.
func (c connection) do(ctx context.Context, call call) error {
	client, err := c.httpClient()
	if err != nil {
		return err
	}
	request, err := c.request(ctx, call)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return eris.Wrap(err, "read reply")
	}
	if response.StatusCode != http.StatusOK {
		return refusalOf(response.StatusCode, data)
	}
	return eris.Wrap(json.Unmarshal(data, call.reply), "decode reply")
}

func (c connection) request(ctx context.Context, call call) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		data, err := json.Marshal(call.body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, c.url(call.path), body)
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// refusalOf reads a reply other than 200.
func refusalOf(status int, data []byte) error {
	var refusal entry.Refusal
	if err := json.Unmarshal(data, &refusal); err != nil || !refusal.Refused {
		return eris.Errorf("the reply has status %d and is not a refusal", status)
	}
	refusal.Status = status
	return &refusal
}
