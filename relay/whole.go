package relay

import (
	"errors"
	"net/http"

	"github.com/parsleydeal/parsleydeal/upstream"
)

// errNoContent is the cause of an attempt whose answer ended behind its head.
var errNoContent = errors.New("relay: answer ends behind its head")

// checkWhole returns why an answer that has ended is not whole. hasContent tells whether the caller has, or would get, any
// of its events or of its body.
//
// A stream has at least one event, unless the caller resumes it and has them all. A success without a byte that ends with
// its connection is the same as one that was cut off behind its head.
func (a *attempt) checkWhole(hasContent bool) (err error) {
	if hasContent || a.exchange.r.Method == http.MethodHead {
		return nil
	}
	if a.isStream() || a.framing == upstream.Unframed && a.status < http.StatusMultipleChoices {
		return errNoContent
	}
	return nil
}

// notWhole ends an attempt whose answer is not whole.
func (a *attempt) notWhole(cause error) (r result, err error) {
	if a.framing == upstream.Unframed {
		// The endpoint may have crashed.
		a.cause = cause
	}
	return a.interruptedResult(), interrupted(cause)
}

// interruptedResult returns the result of an attempt whose answer is not whole.
func (a *attempt) interruptedResult() result {
	if a.exchange.written {
		return broken
	}
	return failed
}
