package main

import (
	"bytes"
	"os"
	"time"

	"github.com/tacktally/tacktally/internal/entry"
	"github.com/tacktally/tacktally/internal/settings"
)

// reloadInterval is how often the settings file is looked at: it may change without a
// signal. Seeds are all that is taken over, and are needed only when links are lost.
const reloadInterval = 5 * time.Second

// reload hands changed settings to the instance, at a SIGHUP, which comes on hangUps, and
// when the file has changed, for as long as the process runs.
func reload(path string, hangUps <-chan os.Signal, i *entry.Instance) {
	changes := time.NewTicker(reloadInterval)
	last, _ := os.ReadFile(path) // it was read a moment ago
	for {
		hungUp := false
		select {
		case <-hangUps:
			hungUp = true
		case <-changes.C:
		}
		content, err := os.ReadFile(path)
		if err == nil && !hungUp && bytes.Equal(content, last) {
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
