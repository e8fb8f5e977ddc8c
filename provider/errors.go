package provider

import "github.com/joomcode/errorx"

// errorType returns the errorx type of an error, or errorx.ExternalError if it has none.
func errorType(err error) *errorx.Type {
	if e := errorx.Cast(err); e != nil {
		return e.Type()
	}
	return errorx.ExternalError
}
