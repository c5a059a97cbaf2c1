// Package e2e holds tests that run entry instances and stand-ins as separate
// processes on loopback.
package e2e
