package provider

import "github.com/joomcode/errorx"

// errTypeOf returns the errorx type of an error, or a foreign type.
func errTypeOf(err error) *errorx.Type {
	if e := errorx.Cast(err); e != nil {
		return e.Type()
	}
	return errorx.ExternalError
}
