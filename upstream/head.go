package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

var errProtocolSwitched = errors.New("protocol was switched without a request for it")

// Statuses of answers are from 100 on and below statusEnd.
const (
	minStatus = 100
	statusEnd = 600
)

// checkHead returns why a parsed head is not valid (RFC 9110, sections 5 and 15). net/http accepts any three characters
// that are a number as a status, and names with blanks.
func checkHead(status int, h http.Header) error {
	switch {
	case status < minStatus, status >= statusEnd:
		return fmt.Errorf("status %d is not valid", status)
	case status == http.StatusSwitchingProtocols:
		return errProtocolSwitched
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("field name %q is not valid", name[:min(len(name), maxShownBytes)])
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("value of field %q is not valid", name[:min(len(name), maxShownBytes)])
			}
		}
	}
	return nil
}

// maxShownBytes bounds what an error shows of a head, in bytes.
const maxShownBytes = 40

// checkFraming returns why a head leaves the end of its body open, or tells it in two ways (RFC 9112, section 6). net/http
// chooses one of them.
func checkFraming(raw []byte, resp *http.Response) error {
	lengths, encodings := 0, 0
	for line := range bytes.Lines(raw) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if lengths+encodings > 1 || encodings > 0 && !resp.ProtoAtLeast(1, 1) {
		return fmt.Errorf("%d lengths and %d encodings in %s", lengths, encodings, resp.Proto)
	}
	return nil
}
