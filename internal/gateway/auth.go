package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// keyCheckInterval is the interval at which the API key of a running stream is checked.
// A stream must end within one second of the revocation of its key.
const keyCheckInterval = 200 * time.Millisecond

var errKeyRevoked = errors.New("the API key was revoked")

// bearerToken returns the bearer token of the request, or "" if there is none.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// authenticate returns the client account of the request's API key.
func (s *server) authenticate(c *call) (opconfig.Account, *errkind.Error) {
	if !c.snapshot.Ready {
		return opconfig.Account{}, errkind.New(errkind.NotReady, "this instance is not ready: it has no configuration yet or is waiting for its slot")
	}
	if c.snapshot.ConfigStale(s.Now()) {
		return opconfig.Account{}, errkind.New(errkind.ConfigStale, "the configuration of this instance is too old to check API keys; retry at another instance")
	}
	if c.apiKey == "" {
		return opconfig.Account{}, errkind.New(errkind.KeyMissing, "the request needs the header Authorization: Bearer KEY")
	}
	c.keyHash = opconfig.HashAPIKey(c.apiKey)
	key, ok := c.snapshot.Config.APIKeys.Get(c.keyHash)
	if !ok {
		return opconfig.Account{}, errkind.New(errkind.KeyUnknown, "the API key is not known; the operators issue API keys")
	}
	if key.Revoked {
		return opconfig.Account{}, errkind.New(errkind.KeyRevoked, "key %q was withdrawn; use the current key of the client account", key.ID)
	}
	account, ok := c.snapshot.Config.Accounts.Get(key.Account)
	_, inactive := c.snapshot.InactiveAccounts[key.Account]
	if !ok || account.Suspended || inactive {
		return opconfig.Account{}, errkind.New(errkind.KeyRevoked, "the client account of key %q is not active", key.ID)
	}
	c.account = account.Name
	return account, nil
}

// watchAPIKey cancels a stream whose API key is revoked while it runs.
func (s *server) watchAPIKey(ctx context.Context, keyHash string, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !keyActive(s.Snapshot(), keyHash) {
			cancel(errKeyRevoked)
			return
		}
	}
}

func keyActive(s *routing.Snapshot, keyHash string) bool {
	key, ok := s.Config.APIKeys.Get(keyHash)
	if !ok || key.Revoked {
		return false
	}
	_, inactive := s.InactiveAccounts[key.Account]
	account, ok := s.Config.Accounts.Get(key.Account)
	return ok && !account.Suspended && !inactive
}

// revokedWhileRunning replaces the error of a stream that watchAPIKey canceled.
func revokedWhileRunning(err *errkind.Error) *errkind.Error {
	revoked := errkind.New(errkind.KeyRevoked, "the key was withdrawn while the request ran")
	if err.Execution != errkind.NotExecuted {
		revoked.Execution = errkind.Executed
	}
	return revoked
}
