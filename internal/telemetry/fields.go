package telemetry

// Names of log fields. Every log line uses these names and no others, so that a
// search over all instances needs to know only this list.
const (
	FieldEvent     = "event"
	FieldInstance  = "instance"
	FieldRequest   = "request"
	FieldMethod    = "method"
	FieldPath      = "path"
	FieldAccount   = "account"
	FieldMillis    = "ms"
	FieldKind      = "kind"
	FieldRan       = "ran"
	FieldCause     = "cause"
	FieldCaller    = "caller"
	FieldPeer      = "peer"
	FieldOperator  = "operator"
	FieldInvariant = "invariant"
	FieldPhase     = "phase"
	FieldInFlight  = "in_flight"
	FieldExpires   = "expires"
	FieldRoute     = "route"
	FieldRevision  = "revision"
	FieldWaited    = "waited_ms"
	FieldTried     = "tried"
	FieldStatus    = "status"
	FieldMessage   = "message"
	FieldUpstream  = "upstream"
	FieldAge       = "age_ms"
	FieldColdFor   = "cold_ms"
	FieldStore     = "store"
)
