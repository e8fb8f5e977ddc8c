// Package client holds the clients of the system's interfaces: Caller for those
// who send requests, and Operator for those who publish tables and look after
// the processes.
package client

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("client")

// Kinds of errors.
var (
	// ErrBroken marks an answer that ended before its end mark.
	ErrBroken = Errors.NewType("broken")
	// ErrRejected marks a change that the log's readers rejected.
	ErrRejected = Errors.NewType("rejected")
	// ErrNoVerdict marks a change of which it is not known whether it stands on
	// the log.
	ErrNoVerdict = Errors.NewType("no-verdict")
	// ErrNotSent marks a change that provably does not stand on the log.
	ErrNotSent = Errors.NewType("not-sent")
	// ErrNotInForce marks an accepted change that was not seen in force
	// everywhere in time.
	ErrNotInForce = Errors.NewType("not-in-force")
)
