package gateway

import (
	"strings"

	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
)

const bearerPrefix = "Bearer "

// authenticate finds the client account whose key came with the request.
func (s *server) authenticate(c *call) (opconfig.Account, *errkind.Error) {
	if !c.snapshot.Ready {
		return opconfig.Account{}, errkind.New(errkind.NotReady, "this instance has no configuration yet")
	}
	if c.snapshot.ConfigStale(s.Now()) {
		return opconfig.Account{}, errkind.New(errkind.ConfigStale, "this instance was cut off for too long to know which keys are valid")
	}
	header := c.r.Header.Get("Authorization")
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || secret == "" {
		return opconfig.Account{}, errkind.New(errkind.KeyMissing, "the request needs a header Authorization: Bearer KEY")
	}
	key, ok := c.snapshot.Config.Keys.Get(opconfig.HashKey(secret))
	if !ok {
		return opconfig.Account{}, errkind.New(errkind.KeyUnknown, "the key is not known")
	}
	if key.Withdrawn {
		return opconfig.Account{}, errkind.New(errkind.KeyWithdrawn, "key %q was withdrawn", key.ID)
	}
	account, ok := c.snapshot.Config.Accounts.Get(key.Account)
	_, inactive := c.snapshot.Inactive[key.Account]
	if !ok || account.Suspended || inactive {
		return opconfig.Account{}, errkind.New(errkind.KeyWithdrawn, "the client account of key %q is not active", key.ID)
	}
	c.account = account.Name
	return account, nil
}
