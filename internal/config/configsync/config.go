package configsync

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the distribution of configuration.
type Config struct {
	// WatchersPerZone is the number of nodes per zone that watch the store: one follows it, the others are standbys.
	WatchersPerZone int `yaml:"watchers_per_zone"`
	// FanOut is the number of nodes to which a node relays a push.
	FanOut int `yaml:"fan_out"`
	// FirstReadDelay is the maximum time for which a starting node pulls only from its seeds before it also reads the
	// store.
	FirstReadDelay time.Duration `yaml:"first_read_delay"`
	// BatchDelay is how long a watcher collects changes before it pushes them.
	BatchDelay time.Duration `yaml:"batch_delay"`
	// BackupDelay is how long a standby waits for the push of the next higher-ranked watcher before it pushes a change
	// itself.
	BackupDelay time.Duration `yaml:"backup_delay"`
	// CallTimeout bounds one call between nodes.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// RetryPause is the minimum pause between attempts to reach the store or a peer.
	RetryPause time.Duration `yaml:"retry_pause"`
	// MaxRetryPause is the maximum pause between attempts to reach the store or a peer.
	MaxRetryPause time.Duration `yaml:"maximum_retry_pause"`
	// PushInterval is the minimum time between two pushes of one watcher. Changes that arrive in between are pushed
	// together.
	PushInterval time.Duration `yaml:"push_interval"`
	// PullDelay is how long a node that learns of a newer revision waits for the push before it pulls.
	PullDelay time.Duration `yaml:"pull_delay"`
	// JoinInterval is how often a node compares its list of zone members with other nodes.
	JoinInterval time.Duration `yaml:"join_interval"`
	// WatchSilence is how long a watch may deliver no event before it is reopened.
	WatchSilence time.Duration `yaml:"watch_silence"`
	// CheckStoreAfter is how long the configuration in force may be unconfirmed before a standby checks the store. The
	// first watcher confirms it at least once per platform.watch_wait.
	CheckStoreAfter time.Duration `yaml:"look_after"`
	// MachineListInterval is how often watchers read the machine list.
	MachineListInterval time.Duration `yaml:"machine_list_interval"`
	// LeavingTTL is how long the notice that a leaf is leaving is valid unless it is renewed.
	LeavingTTL time.Duration `yaml:"leaving_hold"`
}

// DefaultConfig returns settings with which a change is in force in all of a large zone within a second.
func DefaultConfig() Config {
	return Config{
		WatchersPerZone:     2,
		FanOut:              4,
		FirstReadDelay:      8 * time.Second,
		BatchDelay:          20 * time.Millisecond,
		BackupDelay:         500 * time.Millisecond,
		CallTimeout:         500 * time.Millisecond,
		RetryPause:          200 * time.Millisecond,
		MaxRetryPause:       2 * time.Second,
		PushInterval:        300 * time.Millisecond,
		PullDelay:           700 * time.Millisecond,
		JoinInterval:        30 * time.Second,
		WatchSilence:        3 * time.Second,
		CheckStoreAfter:     1750 * time.Millisecond,
		MachineListInterval: time.Second,
		LeavingTTL:          30 * time.Second,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.WatchersPerZone < 1, "watchers_per_zone", "must be at least 1")
	checks.Refuse(c.FirstReadDelay < 0, "first_read_delay", "must not be negative")
	checks.Refuse(c.FanOut < 1, "fan_out", "must be at least 1")
	durations := []struct {
		field string
		value time.Duration
	}{
		{"batch_delay", c.BatchDelay},
		{"backup_delay", c.BackupDelay},
		{"call_timeout", c.CallTimeout},
		{"retry_pause", c.RetryPause},
		{"push_interval", c.PushInterval},
		{"pull_delay", c.PullDelay},
		{"join_interval", c.JoinInterval},
		{"watch_silence", c.WatchSilence},
		{"look_after", c.CheckStoreAfter},
		{"machine_list_interval", c.MachineListInterval},
		{"leaving_hold", c.LeavingTTL},
	}
	for _, duration := range durations {
		checks.Refuse(duration.value <= 0, duration.field, "must be positive")
	}
	checks.Refuse(c.MaxRetryPause < c.RetryPause, "maximum_retry_pause", "must be at least retry_pause")
	return checks.Err()
}
