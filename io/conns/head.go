package conns

import (
	"bufio"
	"bytes"

	"github.com/gravitational/trace"
)

var errMalformedHead = trace.Errorf("response with a malformed header")

// checkHead waits for a response's header and reports an error for lines that fasthttp accepts although they leave the status or the length
// of the body uncertain. It consumes nothing and leaves all other errors to fasthttp.
func checkHead(r *bufio.Reader) error {
	checked := 0
	var h headLines
	for n := 1; ; n = r.Buffered() + 1 {
		_, readErr := r.Peek(n)
		b, _ := r.Peek(r.Buffered())
		for {
			i := bytes.IndexByte(b[checked:], '\n')
			if i < 0 {
				break
			}
			line := b[checked : checked+i]
			checked += i + 1
			if i > 0 && line[i-1] == '\r' {
				line = line[:i-1]
			}
			if end, err := h.check(line); end || err != nil {
				return err
			}
		}
		if readErr != nil {
			return nil //nolint:nilerr // fasthttp reads the error again
		}
	}
}

// headLines checks the lines of one header.
type headLines struct {
	begun  bool // the status line has been checked
	coding bool // the protocol version has the header Transfer-Encoding
}

// check checks the next line. It returns true at the end of the header.
func (h *headLines) check(line []byte) (end bool, err error) {
	switch {
	case len(line) == 0:
		return h.begun, nil
	case !h.begun:
		h.begun, h.coding = true, bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		return false, checkStatusLine(line)
	case line[0] == ' ' || line[0] == '\t': // continues the line before it
		return false, nil
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 {
		return false, errMalformedHead
	}
	name := bytes.TrimRight(line[:colon], " ")
	if bytes.IndexByte(name, ' ') >= 0 {
		return false, errMalformedHead
	}
	// fasthttp drops the line without a sign of it, so that the body would be taken with its chunk lines.
	if !h.coding && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return false, errMalformedHead
	}
	return false, nil
}

// checkStatusLine reports an error for a line that isn't like "HTTP/1.1 200 OK". A status below 100 or above 599 has no meaning; fasthttp
// makes 200 of 000.
func checkStatusLine(line []byte) error {
	version, status, _ := bytes.Cut(line, []byte(" "))
	status, _, _ = bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/")) || len(status) != 3 || status[0] < '1' || status[0] > '5' {
		return errMalformedHead
	}
	if hasControl(line) || string(status) == "101" { // no request asks for another protocol, whose bytes would follow
		return errMalformedHead
	}
	return nil
}

func hasControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
