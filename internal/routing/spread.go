package routing

import "github.com/cespare/xxhash/v2"

// spreadSteps is the number of degrees of preference.
const spreadSteps = 1 << 16

// preferenceOf returns how little an instance prefers an upstream, from 0 to below 1.
// Instances do not see what the others have just sent. Because each prefers other
// upstreams, what an instance sent itself tells most about those that it prefers.
func preferenceOf(instance, upstream string) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(instance)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(upstream)
	return float64(digest.Sum64()%spreadSteps) / spreadSteps
}
