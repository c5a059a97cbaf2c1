// Package settings reads the INI settings of one process. They are read once at
// start-up; the operators' configuration is separate, see package opconfig.
package settings

import (
	"fmt"
	"net"

	"gopkg.in/ini.v1"
)

// Settings are the settings of an entry instance.
type Settings struct {
	Instance  Instance  `ini:"instance"`
	Listeners Listeners `ini:"listeners"`
	Platform  Platform  `ini:"platform"`
	Peer      Peer      `ini:"peer"`
}

// Instance is the section [instance].
type Instance struct {
	ID            string `ini:"id"`
	Region        string `ini:"region"`
	FailureDomain string `ini:"failure_domain"`
}

// Listeners is the section [listeners]. Addresses are host:port with an IP number.
type Listeners struct {
	Caller   string `ini:"caller"`
	Peer     string `ini:"peer"`
	Operator string `ini:"operator"`
	// AdvertisePeer and AdvertiseCaller are the addresses that other instances and
	// callers are told to use; empty for the listener's own.
	AdvertisePeer   string `ini:"advertise_peer"`
	AdvertiseCaller string `ini:"advertise_caller"`
}

// Platform is the section [platform].
type Platform struct {
	// Store is the base URL of the key-value service.
	Store string `ini:"store"`
	// Instances is the URL of the instance list.
	Instances string `ini:"instances"`
}

// Peer is the section [peer].
type Peer struct {
	// Secret authenticates entry instances to each other.
	Secret string `ini:"secret"`
	// Seeds are peer addresses to announce to at start-up.
	Seeds []string `ini:"seeds" delim:","`
}

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Line    int
	Key     string
	Message string
}

// String formats the problem as file:line: key: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Message)
}

// Load reads the file and returns every fault in it.
func Load(path string) (Settings, []Problem) {
	var s Settings
	file, err := ini.Load(path)
	if err != nil {
		return s, []Problem{{File: path, Message: err.Error()}}
	}
	if err := file.MapTo(&s); err != nil {
		return s, []Problem{{File: path, Message: err.Error()}}
	}
	return s, s.check(path)
}

func (s Settings) check(path string) []Problem {
	var problems []Problem
	required := map[string]string{
		"instance.id":             s.Instance.ID,
		"instance.region":         s.Instance.Region,
		"instance.failure_domain": s.Instance.FailureDomain,
		"platform.store":          s.Platform.Store,
		"platform.instances":      s.Platform.Instances,
		"peer.secret":             s.Peer.Secret,
	}
	for key, value := range required {
		if value == "" {
			problems = append(problems, Problem{File: path, Key: key, Message: "a value is required"})
		}
	}
	addresses := map[string]string{
		"listeners.caller":   s.Listeners.Caller,
		"listeners.peer":     s.Listeners.Peer,
		"listeners.operator": s.Listeners.Operator,
	}
	for key, value := range addresses {
		if _, _, err := net.SplitHostPort(value); err != nil {
			problems = append(problems, Problem{File: path, Key: key, Message: "must be host:port"})
		}
	}
	return problems
}
