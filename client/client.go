// Package client provides clients for the system's interfaces: Caller sends requests, and Operator
// publishes tables and reads the status of the processes.
package client

import "github.com/joomcode/errorx"

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("client")

// Types of errors.
var (
	// ErrBroken means that an answer ended before its end marker or could not be parsed.
	ErrBroken = Errors.NewType("broken")
	// ErrRejected means that a change is on the log but invalid, for example because it has an
	// outdated base revision. Every process ignores it.
	ErrRejected = Errors.NewType("rejected")
	// ErrNoVerdict means that it is not known whether a change is on the log.
	ErrNoVerdict = Errors.NewType("no-verdict")
	// ErrNotSent means that a change is provably not on the log.
	ErrNotSent = Errors.NewType("not-sent")
	// ErrNotInForce means that the context ended before every VM reported that an accepted change
	// is in force.
	ErrNotInForce = Errors.NewType("not-in-force")
)
