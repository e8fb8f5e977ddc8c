// Package system holds the tests that run the daemons as processes of their
// own, with the platform and the engines as stand-ins inside the test.
package system
