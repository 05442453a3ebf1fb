package vm

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/eelgrassreach/eelgrassreach/platform"
)

// settingsInterval is the interval of checks for a changed settings file, since the file
// may change without a signal.
const settingsInterval = time.Second

// watchSettings reloads the settings on SIGHUP and when the file has changed.
func (n *fleetNode) watchSettings(ctx context.Context, o FleetOptions) {
	path := o.SettingsPath
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		n.log.Warn("cannot read the settings file", zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-o.Hangup:
			signalled = true
		case <-ticker.C:
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			n.log.Warn("cannot read the settings file; keeping the previous settings", zap.Error(err))
			continue
		}
		if bytes.Equal(raw, last) && !signalled {
			continue
		}
		last = raw
		n.reload(string(raw), signalled)
	}
}

// reload applies the only setting that can change at run time, the store's address.
func (n *fleetNode) reload(raw string, signalled bool) {
	s, err := platform.ParseSettings(raw)
	if err != nil {
		n.log.Error("changed settings are invalid; keeping the previous settings", zap.Error(err))
		return
	}
	n.store.SetAddress(s.StoreAddress)
	n.log.Info("settings reloaded", zap.Bool("signalled", signalled), zap.String("store", s.StoreAddress))
}
