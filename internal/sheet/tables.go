package sheet

import (
	"maps"

	"heatherloom/internal/opconfig"
)

// Tables holds the records of a sheet or of a configuration, keyed like the tables of
// opconfig.Config.
type Tables struct {
	Accounts       map[string]opconfig.Account
	APIKeys        map[string]opconfig.APIKey
	Models         map[string]opconfig.Model
	Routes         map[string]opconfig.Route
	Rollouts       map[string]opconfig.Rollout
	Drains         map[string]opconfig.Drain
	FailureDomains map[string]opconfig.FailureDomain
}

func newTables() Tables {
	return TablesOf(opconfig.New())
}

// TablesOf returns copies of the tables of a configuration, which may be modified.
func TablesOf(c *opconfig.Config) Tables {
	return Tables{
		Accounts:       maps.Collect(c.Accounts.All()),
		APIKeys:        maps.Collect(c.APIKeys.All()),
		Models:         maps.Clone(c.Models),
		Routes:         maps.Clone(c.Routes),
		Rollouts:       maps.Clone(c.Rollouts),
		Drains:         maps.Clone(c.Drains),
		FailureDomains: maps.Clone(c.FailureDomains),
	}
}
