// Package system holds tests that run the daemons as separate processes against
// stand-ins for the platform and the engines in the test process.
package system
