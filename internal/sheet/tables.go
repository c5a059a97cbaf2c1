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
