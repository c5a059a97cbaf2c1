package settings

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// minSecretLength is the minimum length of a shared secret in bytes.
const minSecretLength = 16

var identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// errEmpty reports a required key without a value.
var errEmpty = errors.New("a value is required")

// field is a field of Settings that can be set from the text of a value.
type field interface {
	// set parses text and stores the result in s. Its error states which values are allowed.
	set(s *Settings, text string) error
	// pointer returns a pointer to the field of s.
	pointer(s *Settings) any
}

type typedField[T any] struct {
	parse  func(string) (T, error)
	target func(*Settings) *T
}

// bind returns the field of Settings to which target returns a pointer. Its values are parsed
// by parse.
func bind[T any](parse func(string) (T, error), target func(*Settings) *T) field {
	return typedField[T]{parse: parse, target: target}
}

func (f typedField[T]) set(s *Settings, text string) error {
	value, err := f.parse(text)
	if err != nil {
		return err
	}
	*f.target(s) = value
	return nil
}

func (f typedField[T]) pointer(s *Settings) any { return f.target(s) }

// identifier accepts the name of an instance, region or failure domain.
func identifier(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	if !identifierPattern.MatchString(text) {
		return "", fmt.Errorf("%q is not a name; allowed are 1 to 63 letters, digits, dots, hyphens and underscores, with a letter or digit first", text)
	}
	return text, nil
}

// address accepts an IP address and a port that other instances can connect to.
func address(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", fmt.Errorf("%q is not an address; allowed is an IP address and a port from 0 to 65535, as in 10.1.0.7:8443 or [fd00::7]:8443", text)
	}
	if parsed.Addr().IsUnspecified() {
		return "", fmt.Errorf("%q cannot be announced to other instances; allowed is the IP address that they connect to", text)
	}
	return text, nil
}

// httpURL accepts an http or https URL.
func httpURL(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return "", errors.New("the value is not a URL; allowed is http or https with a host, as in http://10.1.0.2:2379")
	}
	return text, nil
}

// ParseBaseURL accepts an http or https URL without a path, query or fragment and returns it
// without a trailing slash, so that paths can be appended.
func ParseBaseURL(text string) (string, error) {
	if _, err := httpURL(text); err != nil {
		return "", err
	}
	trimmed := strings.TrimSuffix(text, "/")
	parsed, err := url.Parse(trimmed)
	if err != nil || parsed.Path != "" || parsed.RawQuery != "" || parsed.Fragment != "" {
		return "", errors.New("the URL has a path, query or fragment; allowed is only scheme, host and port, as in http://10.1.0.2:2379")
	}
	return trimmed, nil
}

// secret accepts a shared secret. Its errors do not contain the value.
func secret(text string) (string, error) {
	if text == "" {
		return "", errEmpty
	}
	if len(text) < minSecretLength {
		return "", fmt.Errorf("the secret is too short; allowed are at least %d characters", minSecretLength)
	}
	return text, nil
}

// duration accepts a Go duration from lowest to highest.
func duration(lowest, highest time.Duration) func(string) (time.Duration, error) {
	return func(text string) (time.Duration, error) {
		if text == "" {
			return 0, errEmpty
		}
		value, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration; allowed is a number with a unit, as in 500ms, 30s or 10m, from %s to %s", text, lowest, highest)
		}
		if value < lowest || value > highest {
			return 0, fmt.Errorf("%q is out of range; allowed is from %s to %s", text, lowest, highest)
		}
		return value, nil
	}
}

// listOf accepts a comma-separated list of distinct values. An empty text is an empty list.
func listOf(parse func(string) (string, error)) func(string) ([]string, error) {
	return func(text string) ([]string, error) {
		if text == "" {
			return nil, nil
		}
		var values []string
		for part := range strings.SplitSeq(text, ",") {
			value, err := parse(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			if slices.Contains(values, value) {
				return nil, fmt.Errorf("%q occurs twice; allowed is each value once", value)
			}
			values = append(values, value)
		}
		return values, nil
	}
}

// optional accepts an empty text and all values that parse accepts.
func optional(parse func(string) (string, error)) func(string) (string, error) {
	return func(text string) (string, error) {
		if text == "" {
			return "", nil
		}
		return parse(text)
	}
}

// anyText accepts any text.
func anyText(text string) (string, error) { return text, nil }

// oneOf accepts one of the given values.
func oneOf(allowed ...string) func(string) (string, error) {
	return func(text string) (string, error) {
		if !slices.Contains(allowed, text) {
			return "", fmt.Errorf("%q is not known; allowed are %s", text, strings.Join(allowed, ", "))
		}
		return text, nil
	}
}

// boolean accepts true and false.
func boolean(text string) (bool, error) {
	if text != "true" && text != "false" {
		return false, fmt.Errorf("%q is not allowed; allowed are true and false", text)
	}
	return text == "true", nil
}

// namePairs accepts a comma-separated list of NAME:NAME pairs.
func namePairs(text string) (map[string]string, error) {
	list, err := listOf(anyText)(text)
	if err != nil {
		return nil, err
	}
	values := make(map[string]string, len(list))
	for _, pair := range list {
		name, value, _ := strings.Cut(pair, ":")
		if !identifierPattern.MatchString(name) || !identifierPattern.MatchString(value) {
			return nil, fmt.Errorf("%q is not a pair of names; allowed are pairs as in hobart-a:hobart, separated by commas", pair)
		}
		values[name] = value
	}
	return values, nil
}

// number accepts a floating-point number from lowest to highest.
func number(lowest, highest float64) func(string) (float64, error) {
	return func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) || value < lowest || value > highest {
			return 0, fmt.Errorf("%q is not allowed; allowed is a number from %g to %g", text, lowest, highest)
		}
		return value, nil
	}
}

// zeroOr accepts 0, which selects a default, and what parse accepts.
func zeroOr(parse func(string) (float64, error)) func(string) (float64, error) {
	return func(text string) (float64, error) {
		if value, err := strconv.ParseFloat(text, 64); err == nil && value == 0 {
			return 0, nil
		}
		value, err := parse(text)
		if err != nil {
			return 0, fmt.Errorf("%w, or 0 for the default", err)
		}
		return value, nil
	}
}
