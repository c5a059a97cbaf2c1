// Package crowd holds end-to-end tests of callers that do not behave. Each test runs one entry instance in a process of
// its own with a small memory limit and lets a crowd of such callers loose on it. The tests measure memory and
// descriptors, so that they run one at a time and apart from other tests; see tools/test.
package crowd
