package sheet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"heatherloom/internal/opconfig"
)

// Action is the effect of a change on a record, in the operators' words (see the package
// comment).
type Action string

// The actions. ActionRemove and ActionReinstate need the operator's consent, as does
// ActionRevoke if the sheet has no row for the key.
const (
	ActionAdd    Action = "add"
	ActionUpdate Action = "change"
	ActionRemove Action = "remove"
	// ActionRevoke revokes an API key; its record is kept.
	ActionRevoke Action = "withdraw"
	// ActionReinstate makes a revoked API key valid again.
	ActionReinstate Action = "reinstate"
)

// Change is one difference between a configuration and a sheet.
type Change struct {
	Action Action
	// Type is the row type.
	Type string
	// Name is the name of the record. It never contains a key or its hash.
	Name string
	// Detail lists the fields as field=value or, if they changed, field=old->new.
	Detail string
	// Implicit is true if the record is removed or revoked because the sheet has no row
	// for it.
	Implicit bool
	// ConfigChange is the change to pass to configsync.Publisher.
	ConfigChange opconfig.Change
}

// String formats the change on one line.
func (c Change) String() string {
	return strings.TrimSpace(fmt.Sprintf("%-9s %-7s %s  %s", c.Action, c.Type, c.Name, c.Detail))
}

// Diff returns the changes that bring the configuration to the state that the sheet
// declares, ordered by table and name. Tables that the sheet does not declare are left
// unchanged, except that keys of removed client accounts are revoked and rollouts of
// removed models and services are removed.
func Diff(config *opconfig.Config, s Sheet) []Change {
	have := TablesOf(config)
	want := desiredTables(have, s)
	changes := slices.Concat(
		diffTable(config, opconfig.TableAccounts, have.Accounts, want.Accounts, s),
		diffTable(config, opconfig.TableAPIKeys, have.APIKeys, want.APIKeys, s),
		diffTable(config, opconfig.TableModels, have.Models, want.Models, s),
		diffTable(config, opconfig.TableRoutes, have.Routes, want.Routes, s),
		diffTable(config, opconfig.TableRollouts, have.Rollouts, want.Rollouts, s),
		diffTable(config, opconfig.TableFailureDomains, have.FailureDomains, want.FailureDomains, s),
		diffTable(config, opconfig.TableDrains, have.Drains, want.Drains, s),
	)
	return changes
}

// desiredTables returns the tables that the configuration has once the sheet is applied.
func desiredTables(current Tables, s Sheet) Tables {
	want := Tables{
		Accounts:       declaredOrCurrent(s, opconfig.TableAccounts, s.Records.Accounts, current.Accounts),
		APIKeys:        declaredOrCurrent(s, opconfig.TableAPIKeys, s.Records.APIKeys, current.APIKeys),
		Models:         declaredOrCurrent(s, opconfig.TableModels, s.Records.Models, current.Models),
		Routes:         declaredOrCurrent(s, opconfig.TableRoutes, s.Records.Routes, current.Routes),
		Rollouts:       declaredOrCurrent(s, opconfig.TableRollouts, s.Records.Rollouts, current.Rollouts),
		Drains:         declaredOrCurrent(s, opconfig.TableDrains, s.Records.Drains, current.Drains),
		FailureDomains: declaredOrCurrent(s, opconfig.TableFailureDomains, s.Records.FailureDomains, current.FailureDomains),
	}
	revokeKeys(want, current)
	removeRollouts(want, current)
	for id, before := range current.Drains {
		if _, ok := want.Drains[id]; ok {
			want.Drains[id] = before // keeps the start time of the drain
		}
	}
	return want
}

// declaredOrCurrent returns a copy of the sheet's records if the sheet declares the
// table, otherwise of the current ones.
func declaredOrCurrent[T any](s Sheet, table opconfig.Table, declared, current map[string]T) map[string]T {
	if s.DeclaredTables[table] {
		return maps.Clone(declared)
	}
	return maps.Clone(current)
}

// revokeKeys keeps API keys that the sheet does not have as revoked, and revokes the
// keys of client accounts that are removed.
func revokeKeys(want, current Tables) {
	for hash, key := range current.APIKeys {
		if _, ok := want.APIKeys[hash]; !ok {
			key.Revoked = true
			want.APIKeys[hash] = key
		}
	}
	for hash, key := range want.APIKeys {
		_, existed := current.Accounts[key.Account]
		_, remains := want.Accounts[key.Account]
		if existed && !remains {
			key.Revoked = true
			want.APIKeys[hash] = key
		}
	}
}

// removeRollouts removes the rollouts whose model or service is removed.
func removeRollouts(want, current Tables) {
	before := rolloutTargets(current)
	after := rolloutTargets(want)
	for id, rollout := range want.Rollouts {
		if before[rollout.Target] && !after[rollout.Target] {
			delete(want.Rollouts, id)
		}
	}
}

// rolloutTargets returns the names of the models and services.
func rolloutTargets(tables Tables) map[string]bool {
	targets := namesIn(tables, opconfig.TableModels)
	maps.Copy(targets, namesIn(tables, opconfig.TableRoutes))
	return targets
}

func diffTable[T any](config *opconfig.Config, table opconfig.Table, have, want map[string]T, s Sheet) []Change {
	var changes []Change
	for id := range have {
		if _, ok := want[id]; !ok {
			changes = append(changes, DescribeChange(config, opconfig.Remove(table, id)))
		}
	}
	for id, record := range want {
		change := opconfig.Change{Table: table, ID: id, Record: encode(record)}
		before, ok := have[id]
		if !ok || string(encode(before)) != string(change.Record) {
			changes = append(changes, DescribeChange(config, change))
		}
	}
	for i := range changes {
		// ActionRevoke applies to API keys only.
		_, listed := s.Records.APIKeys[changes[i].ConfigChange.ID]
		changes[i].Implicit = changes[i].Action == ActionRemove || changes[i].Action == ActionRevoke && !listed
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Name != b.Name {
			return strings.Compare(a.Name, b.Name)
		}
		return strings.Compare(a.ConfigChange.ID, b.ConfigChange.ID)
	})
	return changes
}

// encode returns the JSON encoding of a record. Encoding cannot fail, because Parse
// bounds numbers and years to values that JSON can represent.
func encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", record, err))
	}
	return raw
}

// DescribeChange converts a change of a configuration to the form that is shown to operators.
func DescribeChange(config *opconfig.Config, change opconfig.Change) Change {
	before := fieldsOf(recordOf(config, change.Table, change.ID))
	after := fieldsOf(change.Record)
	return Change{
		Action:       actionOf(before, after),
		Type:         typeOf(change.Table),
		Name:         nameOf(change, before, after),
		Detail:       detailOf(before, after),
		ConfigChange: change,
	}
}

// nameOf returns the name of the record; for keys the name and not the hash.
func nameOf(change opconfig.Change, before, after map[string]any) string {
	if change.Table != opconfig.TableAPIKeys {
		return change.ID
	}
	for _, fields := range []map[string]any{after, before} {
		if id, ok := fields["id"].(string); ok {
			return id
		}
	}
	return "(unknown key)"
}

func actionOf(before, after map[string]any) Action {
	wasRevoked, isRevoked := before["withdrawn"] == true, after["withdrawn"] == true
	switch {
	case after == nil:
		return ActionRemove
	case before == nil:
		return ActionAdd
	case isRevoked && !wasRevoked:
		return ActionRevoke
	case wasRevoked && !isRevoked:
		return ActionReinstate
	default:
		return ActionUpdate
	}
}

// hashField is never shown to operators.
const hashField = "hash"

// nameFields are omitted from the details of added records, as Change.Name already
// shows them.
var nameFields = []string{"id", "name", "prefix", "instance"}

// detailOf lists all fields of an added record, or the changed fields of another one.
func detailOf(before, after map[string]any) string {
	if after == nil {
		return ""
	}
	all := maps.Clone(after)
	maps.Copy(all, before)
	var parts []string
	for _, field := range slices.Sorted(maps.Keys(all)) {
		old, value := formatValue(before[field]), formatValue(after[field])
		switch {
		case field == hashField:
		case before == nil && slices.Contains(nameFields, field):
		case before == nil:
			parts = append(parts, field+"="+value)
		case old != value:
			parts = append(parts, field+"="+old+"->"+value)
		}
	}
	return strings.Join(parts, " ")
}

func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return "none"
	case []any:
		var parts []string
		for _, part := range v {
			parts = append(parts, formatValue(part))
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}

// fieldsOf decodes a record; it returns nil if there is none.
func fieldsOf(record json.RawMessage) map[string]any {
	if len(record) == 0 {
		return nil
	}
	fields := map[string]any{}
	if err := json.Unmarshal(record, &fields); err != nil {
		return map[string]any{"record": "unreadable"}
	}
	return fields
}

// recordOf returns the JSON encoding of a record of the configuration, or nil if there
// is none.
func recordOf(config *opconfig.Config, table opconfig.Table, id string) json.RawMessage {
	switch table {
	case opconfig.TableAccounts:
		return encodeRecord(config.Accounts.Get(id))
	case opconfig.TableAPIKeys:
		return encodeRecord(config.APIKeys.Get(id))
	case opconfig.TableModels:
		return encodeFrom(config.Models, id)
	case opconfig.TableRoutes:
		return encodeFrom(config.Routes, id)
	case opconfig.TableRollouts:
		return encodeFrom(config.Rollouts, id)
	case opconfig.TableDrains:
		return encodeFrom(config.Drains, id)
	case opconfig.TableFailureDomains:
		return encodeFrom(config.FailureDomains, id)
	default:
		return nil
	}
}

func encodeFrom[T any](table map[string]T, id string) json.RawMessage {
	record, ok := table[id]
	return encodeRecord(record, ok)
}

func encodeRecord(record any, ok bool) json.RawMessage {
	if !ok {
		return nil
	}
	return encode(record)
}
