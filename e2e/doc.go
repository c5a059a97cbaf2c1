// Package e2e holds end-to-end tests, which run entry instances and stand-ins as
// separate processes on loopback.
package e2e
