package role

import (
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
)

// lookEvery is how often the settings file is looked at for changes that no
// signal told of. Seeds are what changes, and they are needed seconds later.
const lookEvery = 2 * time.Second

// Settings are a host's settings file, read again when it changes. All methods
// are safe from any goroutine.
type Settings struct {
	file    string
	now     atomic.Pointer[schema.JoinSettings]
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
	s.now.Store(parsed)
	s.content.Store(&text)
	return s, nil
}

// Get returns the settings in force.
func (s *Settings) Get() *schema.JoinSettings { return s.now.Load() }

// Seeds returns the seeds' addresses for hosts among themselves.
func (s *Settings) Seeds() []string { return settings.SeedPeers(s.Get()) }

// Watch reads the file again on each signal and every other second until stop
// is closed. A file with faults changes nothing. What a running host takes over
// are the seeds; all else needs a restart, and the log says so.
func (s *Settings) Watch(log logr.Logger, signal <-chan os.Signal, stop <-chan struct{}) {
	s.log = log
	ticker := time.NewTicker(lookEvery)
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
	s.now.Store(next)
	s.log.Info("settings reloaded", "reason", reason, "changed", true, "seeds", next.GetSeeds())
}
