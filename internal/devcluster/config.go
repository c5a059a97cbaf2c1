package devcluster

import (
	"cmp"
	_ "embed"
	"encoding/json"

	"github.com/rotisserie/eris"

	"heatherloom/internal/opconfig"
)

//go:embed default.json
var defaultConfig []byte

// Config is the configuration of a development cluster.
type Config struct {
	// Regions have one failure domain each. The first one runs the ledger.
	Regions  []string           `json:"regions"`
	Accounts []opconfig.Account `json:"accounts"`
	APIKeys  []APIKey           `json:"keys"`
	Models   []opconfig.Model   `json:"models"`
	Routes   []opconfig.Route   `json:"routes"`
	// Slots is the number of quota slots of each failure domain; 0 for one slot for each
	// entry instance.
	Slots int `json:"slots,omitempty"`
}

// APIKey is an API key in plain text.
type APIKey struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Secret  string `json:"secret"`
}

// DefaultConfig returns the embedded configuration.
func DefaultConfig() (Config, error) {
	var c Config
	if err := json.Unmarshal(defaultConfig, &c); err != nil {
		return Config{}, eris.Wrap(err, "decode the default configuration")
	}
	return c, nil
}

// Changes returns the changes that turn an empty operators' configuration into c.
func (c Config) Changes() ([]opconfig.Change, error) {
	var changes []opconfig.Change
	add := func(table opconfig.Table, id string, record any) error {
		change, err := opconfig.Set(table, id, record)
		changes = append(changes, change)
		return err
	}
	for _, a := range c.Accounts {
		if err := add(opconfig.TableAccounts, a.Name, a); err != nil {
			return nil, err
		}
	}
	for _, region := range c.Regions {
		domain := opconfig.FailureDomain{Name: failureDomain(region), Region: region, Slots: cmp.Or(c.Slots, entriesPerRegion)}
		if err := add(opconfig.TableFailureDomains, domain.Name, domain); err != nil {
			return nil, err
		}
	}
	for _, k := range c.APIKeys {
		record := opconfig.APIKey{Hash: opconfig.HashAPIKey(k.Secret), ID: k.ID, Account: k.Account}
		if err := add(opconfig.TableAPIKeys, record.Hash, record); err != nil {
			return nil, err
		}
	}
	for _, m := range c.Models {
		if err := add(opconfig.TableModels, m.Name, m); err != nil {
			return nil, err
		}
	}
	for _, r := range c.Routes {
		if err := add(opconfig.TableRoutes, r.Prefix, r); err != nil {
			return nil, err
		}
	}
	return changes, nil
}
