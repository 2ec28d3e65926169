package backend

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
)

// maxHeadBytes bounds the status line and the header of a reply, and the trailer of a chunked
// one. Callers may send at most 16 KiB on the platforms in use.
const maxHeadBytes = 32 << 10

// usualHeadBytes is the capacity for the head of a reply, enough for most of them.
const usualHeadBytes = 512

// readReply reads the next reply with its body, skipping informational (1xx) replies. It
// decides what a valid reply of a server is: one of HTTP/1 with a status from 200 to 599 and
// one unambiguous length. Anything else, also a protocol switch (101), is an error after which
// the request may have run and the connection is not usable.
func readReply(conn *connection, method string) (*http.Response, []byte, error) {
	for {
		head, err := readHead(conn.reader)
		if err != nil {
			return nil, nil, err
		}
		resp, err := parseHead(head, method)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			return nil, nil, invalidReply("reply without a valid status", nil)
		}
		body, err := readBody(conn, resp, method)
		if err != nil {
			return nil, nil, err
		}
		return resp, body, nil
	}
}

// maxStatus is the highest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// readHead returns the lines up to and including the first empty one.
func readHead(r *bufio.Reader) ([]byte, error) {
	head := make([]byte, 0, usualHeadBytes)
	for {
		line, err := r.ReadSlice('\n')
		if len(head)+len(line) > maxHeadBytes {
			return nil, invalidReply("header of the reply too large", nil)
		}
		head = append(head, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case isEmptyLine(line) && endsLine(head[:len(head)-len(line)]):
			return head, nil
		}
	}
}

func isEmptyLine(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// endsLine reports whether what was read before a piece ends a line, so that the piece begins one.
func endsLine(before []byte) bool {
	return len(before) == 0 || before[len(before)-1] == '\n'
}

// headReaders pools the readers that http.ReadResponse needs.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// parseHead parses the status line and the header. The reply has no body yet.
func parseHead(head []byte, method string) (*http.Response, error) {
	encoded, err := checkFraming(head)
	if err != nil {
		return nil, err
	}
	r := headReaders.Get().(*bufio.Reader)
	r.Reset(bytes.NewReader(head))
	defer func() {
		r.Reset(nil)
		headReaders.Put(r)
	}()
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, invalidReply("malformed reply", err)
	}
	resp.Body = http.NoBody // it would read from r
	if resp.ProtoMajor != 1 || resp.ProtoMinor == 0 && encoded {
		return nil, invalidReply("reply of another protocol version", nil)
	}
	return resp, nil
}

// checkFraming checks that at most one field states the length, and reports whether that is
// the transfer encoding. http.ReadResponse accepts equal
// fields and ignores Content-Length beside a transfer encoding; another reader on the way may
// decide otherwise, and the rest of the body would be taken for the next reply.
func checkFraming(head []byte) (encoded bool, err error) {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(head) {
		if line[0] == ' ' || line[0] == '\t' {
			return false, invalidReply("folded line in the header of the reply", nil)
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return false, invalidReply("more than one length of the reply", nil)
	}
	return encodings > 0, nil
}

func hasNoBody(resp *http.Response, method string) bool {
	return method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// endsWithConnection reports whether the body has no length and ends with the connection.
func endsWithConnection(resp *http.Response, method string) bool {
	return !hasNoBody(resp, method) && len(resp.TransferEncoding) == 0 && resp.ContentLength < 0
}

// readBody reads the body that the header announces.
func readBody(conn *connection, resp *http.Response, method string) ([]byte, error) {
	switch {
	case hasNoBody(resp, method):
		return nil, nil
	case len(resp.TransferEncoding) > 0:
		return readChunked(conn.reader)
	case endsWithConnection(resp, method):
		return io.ReadAll(conn.reader) // until the server closes the connection
	case resp.ContentLength > conn.remainingBytes+int64(conn.reader.Buffered()):
		return nil, errReplyTooLarge
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(conn.reader, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return body, nil
}

// readChunked reads a chunked body with its trailer, which is not used.
func readChunked(r *bufio.Reader) ([]byte, error) {
	body, err := io.ReadAll(httputil.NewChunkedReader(r))
	if err != nil {
		return nil, err
	}
	_, err = readHead(r)
	return body, err
}
