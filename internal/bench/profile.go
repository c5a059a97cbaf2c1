// Package bench runs real entry instances over TCP on loopback against stand-ins of all
// their dependencies, and compares the results of routing policies under the same load.
package bench

import (
	"fmt"
	"strings"
	"time"

	"heatherloom/internal/promptprefix"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin"
)

// Account is a client account of a profile.
type Account struct {
	Name string
	// Share is its fraction of all requests.
	Share float64
	// HomeRegion is the region that its data must not leave; empty for none. All requests of an
	// account with a home region arrive there.
	HomeRegion string
}

// Mix holds the fractions of the kinds of requests; they sum to 1.
type Mix struct {
	Review, Question, Status, Write float64
}

// Profile is a deployment and its load. Times and rates are in model time.
type Profile struct {
	Name    string
	Regions []string
	// Engines, Services and Entries are the numbers of engines, services and entry instances
	// in each region.
	Engines, Services, Entries []int
	// RegionLatency and ClientLatency are one-way latencies.
	RegionLatency, ClientLatency time.Duration
	// RegionBandwidth is in bytes per second in each direction between two regions.
	RegionBandwidth float64
	Accounts        []Account
	Mix             Mix
	// DocumentTokens is the mean length of a log or thread under review, and
	// ActiveDocuments the number of documents under review at the same time in a region.
	DocumentTokens  int
	ActiveDocuments int
	// RequestsPerDocument is the mean number of requests for one document.
	RequestsPerDocument float64
	// SystemTokens is the length of the system prompt, which all prompts of a client account
	// start with.
	SystemTokens                             int
	ReviewAnswerTokens, QuestionAnswerTokens int
	QuestionTokens                           int
	DiurnalAmplitude, PeakUtilization        float64
	PolicyPreset                             string
}

// modelName is the model that all callers request, and modelVersion its version.
const (
	modelName    = "lantern"
	modelVersion = "1"
)

// newAccounts returns accounts with the shares of the design page: a few of the five are
// large, and 39% of the requests belong to accounts with a home region.
func newAccounts(names []string, regions []string) []Account {
	return []Account{
		{Name: names[0], Share: 0.36},
		{Name: names[1], Share: 0.25},
		{Name: names[2], Share: 0.17, HomeRegion: regions[0]},
		{Name: names[3], Share: 0.13, HomeRegion: regions[1]},
		{Name: names[4], Share: 0.09, HomeRegion: regions[2]},
	}
}

// Profiles returns the profiles of section 1.1 of the design page.
func Profiles() []Profile {
	derwent := Profile{
		Name:                 "derwent",
		Regions:              []string{"hobart", "launceston", "burnie"},
		Engines:              []int{4, 4, 4},
		Services:             []int{1, 1, 1},
		Entries:              []int{3, 3, 2},
		RegionLatency:        55 * time.Millisecond,
		ClientLatency:        time.Millisecond,
		RegionBandwidth:      2e9 / 8,
		Mix:                  Mix{Review: 0.30, Question: 0.45, Status: 0.20, Write: 0.05},
		DocumentTokens:       6000,
		ActiveDocuments:      40,
		RequestsPerDocument:  10,
		SystemTokens:         2 * promptprefix.BlockTokens,
		ReviewAnswerTokens:   96,
		QuestionAnswerTokens: 32,
		QuestionTokens:       80,
		DiurnalAmplitude:     0.6,
		PeakUtilization:      0.7,
		PolicyPreset:         routing.PresetDerwent,
	}
	derwent.Accounts = newAccounts([]string{"harbour-trust", "strait-pilots", "hobart-works", "tamar-works", "emu-bay"}, derwent.Regions)
	guild := derwent
	guild.Name = "guild"
	guild.Regions = []string{"lowlands", "highlands", "borders"}
	guild.Engines = []int{6, 6, 6}
	guild.ClientLatency = 3 * time.Millisecond
	guild.RegionBandwidth = 140e6 / 8
	guild.Mix = Mix{Review: 0.25, Question: 0.40, Status: 0.25, Write: 0.10}
	guild.ActiveDocuments = 60
	guild.PolicyPreset = routing.PresetGuild
	guild.Accounts = newAccounts([]string{"order-desk", "pattern-room", "clyde-makers", "spey-makers", "tweed-makers"}, guild.Regions)
	return []Profile{derwent, guild}
}

// ProfileByName returns the profile with the given name.
func ProfileByName(name string) (Profile, error) {
	var names []string
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return Profile{}, fmt.Errorf("profile %q does not exist; allowed are %s", name, strings.Join(names, ", "))
}

// meanRate returns the mean rate of all requests, in requests per model second, at which
// the busiest region reaches the fraction PeakUtilization of its capacity at its peak. The
// capacity is that of engines without cache hits.
func (p Profile) meanRate(m standin.SimulationParams) float64 {
	perToken := (m.PrefillTimePerToken + m.StepOverhead/time.Duration(m.MaxBatchedTokens)).Seconds()
	promptTokens := p.Mix.Review*float64(p.SystemTokens+p.DocumentTokens+p.QuestionTokens) +
		p.Mix.Question*float64(p.SystemTokens+p.QuestionTokens)
	decodeTokens := p.Mix.Review*float64(p.ReviewAnswerTokens) + p.Mix.Question*float64(p.QuestionAnswerTokens)
	perRequest := promptTokens*perToken + decodeTokens*m.DecodeTimePerToken.Seconds()
	lowest := 0.0
	for i := range p.Regions {
		rate := p.PeakUtilization * float64(p.Engines[i]) / (perRequest * p.regionShare(i) * (1 + p.DiurnalAmplitude))
		if lowest == 0 || rate < lowest {
			lowest = rate
		}
	}
	return lowest
}

// regionShare returns the fraction of all requests that arrive in a region.
func (p Profile) regionShare(i int) float64 {
	share := 0.0
	for _, a := range p.Accounts {
		switch a.HomeRegion {
		case "":
			share += a.Share / float64(len(p.Regions))
		case p.Regions[i]:
			share += a.Share
		}
	}
	return share
}
