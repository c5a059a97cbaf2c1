package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
)

// directoryPollInterval is the poll interval of the client directory. The list of inactive
// accounts is short; urgent revocations go through the operators' configuration sheet.
const directoryPollInterval = 10 * time.Second

// pollDirectory periodically posts the inactive client accounts to the control loop. After
// a failed read the previous list stays in use.
func pollDirectory(ctx context.Context, directory external.Directory, loop *control.Loop, log *logrus.Entry) {
	ticker := time.NewTicker(directoryPollInterval)
	defer ticker.Stop()
	for {
		accounts, err := directory.Accounts(ctx)
		if err == nil {
			loop.Post(ctx, control.DirectoryEvent{Inactive: inactiveAccounts(accounts)})
		} else if ctx.Err() == nil {
			log.WithField("event", "directory").WithError(err).Warn("reading the client directory failed; the previous list stays in use")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// inactiveAccounts returns the names of the accounts that are not active.
func inactiveAccounts(accounts []external.DirectoryAccount) map[string]struct{} {
	inactive := map[string]struct{}{}
	for _, a := range accounts {
		if !a.Active {
			inactive[a.Name] = struct{}{}
		}
	}
	return inactive
}
