package main

import (
	"bytes"
	"os"
	"time"

	"github.com/tacktally/tacktally/internal/entry"
	"github.com/tacktally/tacktally/internal/settings"
)

// reloadInterval is the interval at which the settings file is checked for changes, which may
// come without a signal. It can be long: only seeds are applied, and they are needed only when
// links are lost.
const reloadInterval = 5 * time.Second

// reload passes the settings to the instance after each signal on hangups, and whenever the file
// has changed. It never returns.
func reload(path string, hangups <-chan os.Signal, i *entry.Instance) {
	changes := time.NewTicker(reloadInterval)
	last, _ := os.ReadFile(path) // it was readable at startup
	for {
		signalled := false
		select {
		case <-hangups:
			signalled = true
		case <-changes.C:
		}
		content, err := os.ReadFile(path)
		if err == nil && !signalled && bytes.Equal(content, last) {
			continue
		}
		last = content
		s, err := settings.Load(path)
		if err != nil {
			i.ReloadFailed(err)
			continue
		}
		i.Reload(s)
	}
}
