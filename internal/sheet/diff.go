package sheet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"heatherloom/internal/opconfig"
)

// Action says what a change does.
type Action string

// The actions. Withdraw, Reinstate and Remove need the operator's consent.
const (
	Add    Action = "add"
	Update Action = "change"
	Remove Action = "remove"
	// Withdraw ends a key; its record is kept.
	Withdraw Action = "withdraw"
	// Reinstate makes a withdrawn key valid again.
	Reinstate Action = "reinstate"
)

// Change is one difference between a configuration and a sheet.
type Change struct {
	Action Action
	// Type is the row type.
	Type string
	// Name is the name of the record; never a secret or a hash.
	Name string
	// Detail lists the fields as field=value, or field=old->new.
	Detail string
	// ByAbsence is true if the record is removed or withdrawn because the sheet does
	// not have it.
	ByAbsence bool
	// Record is the change for configsync.Publisher.
	Record opconfig.Change
}

// String formats the change on one line.
func (c Change) String() string {
	return strings.TrimSpace(fmt.Sprintf("%-9s %-7s %s  %s", c.Action, c.Type, c.Name, c.Detail))
}

// Diff returns the changes that turn the configuration into what the sheet states,
// ordered by table and name. Tables that the sheet does not state are left as they
// are, except that keys of removed client accounts are withdrawn and rollouts of
// removed models and services are removed.
func Diff(config *opconfig.Config, s Sheet) []Change {
	have := TablesOf(config)
	want := desired(have, s)
	changes := slices.Concat(
		diffTable(config, opconfig.TableAccounts, have.Accounts, want.Accounts, s),
		diffTable(config, opconfig.TableAPIKeys, have.Keys, want.Keys, s),
		diffTable(config, opconfig.TableModels, have.Models, want.Models, s),
		diffTable(config, opconfig.TableRoutes, have.Routes, want.Routes, s),
		diffTable(config, opconfig.TableRollouts, have.Moves, want.Moves, s),
		diffTable(config, opconfig.TableFailureDomains, have.Domains, want.Domains, s),
		diffTable(config, opconfig.TableDrains, have.Leaving, want.Leaving, s),
	)
	return changes
}

// desired returns the tables that the configuration has after the sheet.
func desired(config Tables, s Sheet) Tables {
	want := Tables{
		Accounts: stated(s, opconfig.TableAccounts, s.Records.Accounts, config.Accounts),
		Keys:     stated(s, opconfig.TableAPIKeys, s.Records.Keys, config.Keys),
		Models:   stated(s, opconfig.TableModels, s.Records.Models, config.Models),
		Routes:   stated(s, opconfig.TableRoutes, s.Records.Routes, config.Routes),
		Moves:    stated(s, opconfig.TableRollouts, s.Records.Moves, config.Moves),
		Leaving:  stated(s, opconfig.TableDrains, s.Records.Leaving, config.Leaving),
		Domains:  stated(s, opconfig.TableFailureDomains, s.Records.Domains, config.Domains),
	}
	withdrawKeys(want, config)
	removeMoves(want, config)
	for id, before := range config.Leaving {
		if _, ok := want.Leaving[id]; ok {
			want.Leaving[id] = before // keeps the time since when it is leaving
		}
	}
	return want
}

func stated[T any](s Sheet, table opconfig.Table, sheet, config map[string]T) map[string]T {
	if s.Stated[table] {
		return maps.Clone(sheet)
	}
	return maps.Clone(config)
}

// withdrawKeys keeps keys that the sheet does not have as withdrawn, and withdraws
// the keys of client accounts that are removed.
func withdrawKeys(want, config Tables) {
	for hash, key := range config.Keys {
		if _, ok := want.Keys[hash]; !ok {
			key.Revoked = true
			want.Keys[hash] = key
		}
	}
	for hash, key := range want.Keys {
		_, had := config.Accounts[key.Account]
		_, has := want.Accounts[key.Account]
		if had && !has {
			key.Revoked = true
			want.Keys[hash] = key
		}
	}
}

// removeMoves removes the rollouts whose model or service is removed.
func removeMoves(want, config Tables) {
	before := targetsOf(config)
	after := targetsOf(want)
	for id, move := range want.Moves {
		if before[move.Target] && !after[move.Target] {
			delete(want.Moves, id)
		}
	}
}

func targetsOf(config Tables) map[string]bool {
	targets := namesIn(config, opconfig.TableModels)
	maps.Copy(targets, namesIn(config, opconfig.TableRoutes))
	return targets
}

func diffTable[T any](config *opconfig.Config, table opconfig.Table, have, want map[string]T, s Sheet) []Change {
	var changes []Change
	for id := range have {
		if _, ok := want[id]; !ok {
			changes = append(changes, Explain(config, opconfig.Remove(table, id)))
		}
	}
	for id, record := range want {
		change := opconfig.Change{Table: table, ID: id, Record: encode(record)}
		before, ok := have[id]
		if !ok || string(encode(before)) != string(change.Record) {
			changes = append(changes, Explain(config, change))
		}
	}
	for i := range changes {
		// Only keys are withdrawn.
		_, stated := s.Records.Keys[changes[i].Record.ID]
		changes[i].ByAbsence = changes[i].Action == Remove || changes[i].Action == Withdraw && !stated
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Name != b.Name {
			return strings.Compare(a.Name, b.Name)
		}
		return strings.Compare(a.Record.ID, b.Record.ID)
	})
	return changes
}

// encode returns the JSON of a record. The record types of opconfig have no value
// that cannot be encoded: Parse bounds numbers and years.
func encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", record, err))
	}
	return raw
}

// Explain returns a change of a configuration in the form that operators read.
func Explain(config *opconfig.Config, change opconfig.Change) Change {
	before := fieldsOf(recordOf(config, change.Table, change.ID))
	after := fieldsOf(change.Record)
	return Change{
		Action: actionOf(before, after),
		Type:   typeOf(change.Table),
		Name:   nameOf(change, before, after),
		Detail: detailOf(before, after),
		Record: change,
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
	was, is := before["withdrawn"] == true, after["withdrawn"] == true
	switch {
	case after == nil:
		return Remove
	case before == nil:
		return Add
	case is && !was:
		return Withdraw
	case was && !is:
		return Reinstate
	default:
		return Update
	}
}

// hashField is never shown.
const hashField = "hash"

// nameFields are not shown for added records, whose name holds them.
var nameFields = []string{"id", "name", "prefix", "instance"}

// detailOf lists the fields of an added record, or those that differ.
func detailOf(before, after map[string]any) string {
	if after == nil {
		return ""
	}
	all := maps.Clone(after)
	maps.Copy(all, before)
	var parts []string
	for _, field := range slices.Sorted(maps.Keys(all)) {
		old, value := text(before[field]), text(after[field])
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

func text(value any) string {
	switch v := value.(type) {
	case nil:
		return "none"
	case []any:
		var parts []string
		for _, part := range v {
			parts = append(parts, text(part))
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}

// fieldsOf decodes a record; nil if there is none.
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

// recordOf returns the JSON of a record of the configuration; nil if there is none.
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
