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

// keyCheckInterval is the time between two checks of the key of a running stream. A
// stream must end within one second after the key was withdrawn.
const keyCheckInterval = 200 * time.Millisecond

var errKeyWithdrawn = errors.New("the key was withdrawn")

// bearer returns the key that came with the request, or "" if there is none.
func bearer(r *http.Request) string {
	scheme, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// authenticate finds the client account whose key came with the request.
func (s *server) authenticate(c *call) (opconfig.Account, *errkind.Error) {
	if !c.snapshot.Ready {
		return opconfig.Account{}, errkind.New(errkind.NotReady, "this instance has no configuration yet")
	}
	if c.snapshot.ConfigStale(s.Now()) {
		return opconfig.Account{}, errkind.New(errkind.ConfigStale, "this instance was cut off for too long to know which keys are valid")
	}
	if c.secret == "" {
		return opconfig.Account{}, errkind.New(errkind.KeyMissing, "the request needs a header Authorization: Bearer KEY")
	}
	c.keyHash = opconfig.HashAPIKey(c.secret)
	key, ok := c.snapshot.Config.APIKeys.Get(c.keyHash)
	if !ok {
		return opconfig.Account{}, errkind.New(errkind.KeyUnknown, "the key is not known; the operators hand out keys")
	}
	if key.Revoked {
		return opconfig.Account{}, errkind.New(errkind.KeyWithdrawn, "key %q was withdrawn; use the current key of the client account", key.ID)
	}
	account, ok := c.snapshot.Config.Accounts.Get(key.Account)
	_, inactive := c.snapshot.InactiveAccounts[key.Account]
	if !ok || account.Suspended || inactive {
		return opconfig.Account{}, errkind.New(errkind.KeyWithdrawn, "the client account of key %q is not active", key.ID)
	}
	c.account = account.Name
	return account, nil
}

// watchKey cancels a stream whose key is withdrawn while it runs.
func (s *server) watchKey(ctx context.Context, keyHash string, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !keyActive(s.Snapshot(), keyHash) {
			cancel(errKeyWithdrawn)
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

// withdrawnWhileRunning replaces the failure of a stream that watchKey ended.
func withdrawnWhileRunning(err *errkind.Error) *errkind.Error {
	withdrawn := errkind.New(errkind.KeyWithdrawn, "the key was withdrawn while the request ran")
	if err.Execution != errkind.NotExecuted {
		withdrawn.Execution = errkind.Executed
	}
	return withdrawn
}
