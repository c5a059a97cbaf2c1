package sheet

import (
	"maps"

	"heatherloom/internal/opconfig"
)

// Tables holds the records of a sheet or of a configuration, keyed like the tables of
// opconfig.Config.
type Tables struct {
	Accounts map[string]opconfig.Account
	Keys     map[string]opconfig.APIKey
	Models   map[string]opconfig.Model
	Routes   map[string]opconfig.Route
	Moves    map[string]opconfig.Rollout
	Leaving  map[string]opconfig.Drain
	Domains  map[string]opconfig.FailureDomain
}

func newTables() Tables {
	return TablesOf(opconfig.New())
}

// TablesOf returns copies of the tables of a configuration, which may be modified.
func TablesOf(c *opconfig.Config) Tables {
	return Tables{
		Accounts: maps.Collect(c.Accounts.All()),
		Keys:     maps.Collect(c.APIKeys.All()),
		Models:   maps.Clone(c.Models),
		Routes:   maps.Clone(c.Routes),
		Moves:    maps.Clone(c.Rollouts),
		Leaving:  maps.Clone(c.Drains),
		Domains:  maps.Clone(c.FailureDomains),
	}
}
