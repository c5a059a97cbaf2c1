package sheet

import (
	"maps"

	"heatherloom/internal/opconfig"
)

// Tables are the records of a sheet or of a configuration, indexed as the tables of
// opconfig.Config are.
type Tables struct {
	Accounts map[string]opconfig.Account
	Keys     map[string]opconfig.Key
	Models   map[string]opconfig.Model
	Routes   map[string]opconfig.Route
	Moves    map[string]opconfig.Move
	Leaving  map[string]opconfig.Leaving
	Domains  map[string]opconfig.Domain
}

func newTables() Tables {
	return TablesOf(opconfig.New())
}

// TablesOf returns the tables of a configuration. They may be changed.
func TablesOf(c *opconfig.Config) Tables {
	return Tables{
		Accounts: maps.Collect(c.Accounts.All()),
		Keys:     maps.Collect(c.Keys.All()),
		Models:   maps.Clone(c.Models),
		Routes:   maps.Clone(c.Routes),
		Moves:    maps.Clone(c.Moves),
		Leaving:  maps.Clone(c.Leaving),
		Domains:  maps.Clone(c.Domains),
	}
}

// has reports whether a record exists.
func (t Tables) has(table opconfig.Table, id string) bool {
	switch table {
	case opconfig.TableAccounts:
		return holds(t.Accounts, id)
	case opconfig.TableKeys:
		return holds(t.Keys, id)
	case opconfig.TableModels:
		return holds(t.Models, id)
	case opconfig.TableRoutes:
		return holds(t.Routes, id)
	case opconfig.TableMoves:
		return holds(t.Moves, id)
	case opconfig.TableLeaving:
		return holds(t.Leaving, id)
	case opconfig.TableDomains:
		return holds(t.Domains, id)
	default:
		return false
	}
}

func holds[T any](table map[string]T, id string) bool {
	_, ok := table[id]
	return ok
}
