package role

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
)

// settingsPollInterval is how often the settings file is checked for changes without a
// signal. Seeds are what changes, and they are needed only seconds later.
const settingsPollInterval = 2 * time.Second

// Settings is a host's settings file, reloaded when it changes. All methods are safe for
// concurrent use.
type Settings struct {
	file    string
	current atomic.Pointer[schema.JoinSettings]
	content atomic.Pointer[string]
	log     logr.Logger
}

// LoadSettings reads a settings file.
func LoadSettings(file string) (*Settings, error) {
	s := &Settings{file: file, log: logr.Discard()}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	parsed, err := settings.ParseJoin(file, data)
	if err != nil {
		return nil, err
	}
	text := string(data)
	s.current.Store(parsed)
	s.content.Store(&text)
	return s, nil
}

// Get returns the settings in force.
func (s *Settings) Get() *schema.JoinSettings { return s.current.Load() }

// Seeds returns the peer addresses of the seeds.
func (s *Settings) Seeds() []string { return settings.SeedPeers(s.Get()) }

// Watch reloads the file on each signal and every 2 s until stop is closed. An invalid file
// changes nothing. A running host applies only changed seeds; all other settings need a
// restart. The log line of a reload lists the seeds.
func (s *Settings) Watch(log logr.Logger, signal <-chan os.Signal, stop <-chan struct{}) {
	s.log = log
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-signal:
			s.reload("signal")
		case <-ticker.C:
			s.reload("file changed")
		}
	}
}

func (s *Settings) reload(reason string) {
	data, err := os.ReadFile(s.file)
	if err != nil {
		s.log.Error(err, "settings not read", "reason", reason)
		return
	}
	text := string(data)
	if text == *s.content.Load() {
		if reason == "signal" {
			s.log.Info("settings reloaded", "reason", reason, "changed", false)
		}
		return
	}
	s.content.Store(&text)
	next, err := settings.ParseJoin(s.file, data)
	if err != nil {
		s.log.Error(err, "settings not taken", "reason", reason)
		return
	}
	s.current.Store(next)
	s.log.Info("settings reloaded", "reason", reason, "changed", true, "seeds", next.GetSeeds())
}
