package opconfig

import (
	"encoding/json"
	"fmt"
	"unique"

	"github.com/rotisserie/eris"
)

// Table is the name of a table of the configuration in a Change.
type Table string

// The tables of a Config.
const (
	TableAccounts       Table = "accounts"
	TableAPIKeys        Table = "keys"
	TableModels         Table = "models"
	TableRoutes         Table = "routes"
	TableRollouts       Table = "moves"
	TableDrains         Table = "leaving"
	TableFailureDomains Table = "domains"

	TableHostRoutes Table = "host_routes"
	TableServices   Table = "services"
	TableLimits     Table = "limits"
)

// Change sets or removes one record.
type Change struct {
	Table Table `json:"table"`
	// ID is the index of the record in its table.
	ID string `json:"id"`
	// Record is the JSON encoding of the record; empty if the record is removed.
	Record json.RawMessage `json:"record,omitempty"`
}

// Set returns a Change that stores record, which must be of the table's type.
func Set(table Table, id string, record any) (Change, error) {
	raw, err := json.Marshal(record)
	if err != nil {
		return Change{}, eris.Wrapf(err, "encode %s record %q", table, id)
	}
	return Change{Table: table, ID: id, Record: raw}, nil
}

// Remove returns a Change that removes a record.
func Remove(table Table, id string) Change {
	return Change{Table: table, ID: id}
}

// Delta is the set of changes that one accepted apply made.
type Delta struct {
	// Revision is the revision of the configuration after the delta.
	Revision int64 `json:"revision"`
	// ApplyID identifies the apply that wrote the delta, so that a client whose response
	// was lost can recognize it.
	ApplyID string   `json:"apply_id"`
	Changes []Change `json:"changes"`
}

// RevisionError reports a delta whose revision does not directly follow that of the
// configuration to which it is applied.
type RevisionError struct {
	Have, Got int64
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("delta of revision %d does not follow revision %d", e.Got, e.Have)
}

// Apply returns the configuration after the delta and leaves the receiver unchanged. It
// returns a *RevisionError if the delta does not directly follow the receiver.
func (c *Config) Apply(d Delta) (*Config, error) {
	if d.Revision != c.Revision+1 {
		return nil, &RevisionError{Have: c.Revision, Got: d.Revision}
	}
	next := c.clone()
	next.Revision = d.Revision
	for _, change := range d.Changes {
		if err := next.apply(change); err != nil {
			return nil, err
		}
	}
	return next, nil
}

func (c *Config) apply(ch Change) error {
	switch ch.Table {
	case TableAccounts:
		return applyToRecords(c.Accounts, ch)
	case TableAPIKeys:
		return applyToRecords(c.APIKeys, ch)
	case TableModels:
		return applyToMap(c.Models, ch)
	case TableRoutes:
		return applyToMap(c.Routes, ch)
	case TableRollouts:
		return applyToMap(c.Rollouts, ch)
	case TableDrains:
		return applyToMap(c.Drains, ch)
	case TableFailureDomains:
		return applyToMap(c.FailureDomains, ch)
	case TableHostRoutes:
		return applyToMap(c.HostRoutes, ch)
	case TableServices:
		return applyToMap(c.Services, ch)
	case TableLimits:
		return applyToMap(c.Limits, ch)
	default:
		return eris.Errorf("unknown table %q in configuration delta", ch.Table)
	}
}

func applyToRecords[T any](table *Records[T], ch Change) error {
	if len(ch.Record) == 0 {
		table.remove(ch.ID)
		return nil
	}
	record, err := decodeRecord[T](ch)
	if err != nil {
		return err
	}
	shareStrings(ch.ID, &record)
	table.set(ch.ID, record)
	return nil
}

// shareStrings lets a record share the string memory of its index and of equal region
// names. With 44,000 client accounts of one key each this saves a fifth of the memory of
// the configuration.
func shareStrings(id string, record any) {
	switch r := record.(type) {
	case *Account:
		if r.Name == id {
			r.Name = id
		}
		r.HomeRegion = unique.Make(r.HomeRegion).Value()
	case *APIKey:
		if r.Hash == id {
			r.Hash = id
		}
	}
}

func applyToMap[T any](table map[string]T, ch Change) error {
	if len(ch.Record) == 0 {
		delete(table, ch.ID)
		return nil
	}
	record, err := decodeRecord[T](ch)
	if err != nil {
		return err
	}
	table[ch.ID] = record
	return nil
}

func decodeRecord[T any](ch Change) (T, error) {
	var record T
	if err := json.Unmarshal(ch.Record, &record); err != nil {
		return record, eris.Wrapf(err, "decode %s record %q", ch.Table, ch.ID)
	}
	return record, nil
}
