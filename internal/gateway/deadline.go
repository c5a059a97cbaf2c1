package gateway

import (
	"net/http"
	"strconv"
	"time"

	"heatherloom/internal/errkind"
)

// Headers with which callers set a deadline.
const (
	headerTimeout  = "X-Request-Timeout"
	headerDeadline = "X-Request-Deadline"
)

const (
	// defaultTimeout applies to requests without a deadline header.
	defaultTimeout = 2 * time.Minute
	// maxTimeout bounds the deadline that a caller may set.
	maxTimeout = 10 * time.Minute
)

// requestDeadline returns the time by which the response must be complete. If both
// headers are present, the earlier time applies.
func requestDeadline(header http.Header, now time.Time) (time.Time, *errkind.Error) {
	deadline := now.Add(defaultTimeout)
	text, ok, err := singleHeaderValue(header, headerTimeout)
	if err != nil {
		return now, err
	}
	if ok {
		timeout, err := parseTimeout(text)
		if err != nil {
			return now, err
		}
		deadline = now.Add(timeout)
	}
	at, err := parseDeadline(header, now)
	if err != nil {
		return now, err
	}
	if !at.IsZero() && (!ok || at.Before(deadline)) {
		deadline = at
	}
	return deadline, nil
}

// parseTimeout parses a number of seconds.
func parseTimeout(text string) (time.Duration, *errkind.Error) {
	seconds, err := strconv.ParseFloat(text, 64)
	// Negated so that NaN, for which every comparison is false, is rejected as well.
	if err != nil || !(seconds <= maxTimeout.Seconds()) {
		return 0, malformed("%s must be a number of seconds above 0 and up to %g, not %q", headerTimeout, maxTimeout.Seconds(), shorten(text))
	}
	timeout := time.Duration(max(seconds, 0) * float64(time.Second))
	if timeout <= 0 {
		return 0, errkind.New(errkind.DeadlinePassed, "%s must be above 0 seconds, not %q", headerTimeout, shorten(text))
	}
	return timeout, nil
}

// parseDeadline returns the time in the deadline header; the zero time if it is absent.
func parseDeadline(header http.Header, now time.Time) (time.Time, *errkind.Error) {
	text, ok, err := singleHeaderValue(header, headerDeadline)
	if err != nil || !ok {
		return time.Time{}, err
	}
	at, parseErr := time.Parse(time.RFC3339, text)
	if parseErr != nil || at.After(now.Add(maxTimeout)) {
		return time.Time{}, malformed("%s must be an RFC 3339 time, such as %s, at most %s from now, not %q",
			headerDeadline, now.UTC().Add(defaultTimeout).Format(time.RFC3339), maxTimeout, shorten(text))
	}
	if !at.After(now) {
		return time.Time{}, errkind.New(errkind.DeadlinePassed, "the deadline %s has passed; it is %s now", shorten(text), now.UTC().Format(time.RFC3339))
	}
	return at, nil
}

// singleHeaderValue returns the value of a header that may be sent at most once, and
// whether it is present.
func singleHeaderValue(header http.Header, name string) (string, bool, *errkind.Error) {
	values := header.Values(name)
	if len(values) > 1 {
		return "", false, malformed("%s must be sent at most once", name)
	}
	if len(values) == 0 {
		return "", false, nil
	}
	return values[0], true, nil
}
