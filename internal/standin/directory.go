package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/external/scim"
)

// DirectoryFaults are the injected faults of the client directory.
type DirectoryFaults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// LagMS is the delay until changes become visible, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// maxDirectoryPage is the largest page size; the real service limits it as well.
const maxDirectoryPage = 200

type directoryChange struct {
	account external.DirectoryAccount
	since   time.Time
}

// Directory is a stand-in for the client directory. It serves SCIM 2.0 list requests.
type Directory struct {
	*Server

	mu      sync.Mutex
	faults  DirectoryFaults
	history []directoryChange
}

// StartDirectory starts a stand-in at address.
func StartDirectory(address string) (*Directory, error) {
	d := &Directory{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+scim.PathUsers, d.serveList)
	mux.HandleFunc("POST /standin/faults", d.serveFaults)
	mux.HandleFunc("POST /standin/accounts", d.serveSet)
	server, err := Listen(address, mux)
	if err != nil {
		return nil, err
	}
	d.Server = server
	return d, nil
}

// SetFaults replaces the injected faults.
func (d *Directory) SetFaults(f DirectoryFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = f
}

// Set adds or replaces an account.
func (d *Directory) Set(a external.DirectoryAccount) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, directoryChange{account: a, since: time.Now()})
}

func (d *Directory) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f DirectoryFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.SetFaults(f)
}

func (d *Directory) serveSet(w http.ResponseWriter, r *http.Request) {
	var a external.DirectoryAccount
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	d.Set(a)
}

func (d *Directory) serveList(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	faults := d.faults
	d.mu.Unlock()
	if faults.Outage {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	users := d.visible(time.Now(), query.Get("filter") == scim.FilterInactive)
	start := max(parseInt(query.Get("startIndex"), 1), 1)
	count := min(parseInt(query.Get("count"), maxDirectoryPage), maxDirectoryPage)
	page := scim.ListResponse{Schemas: []string{scim.SchemaList}, TotalResults: len(users), StartIndex: start}
	if start <= len(users) {
		page.Resources = users[start-1 : min(start-1+max(count, 0), len(users))]
	}
	page.ItemsPerPage = len(page.Resources)
	w.Header().Set("Content-Type", scim.ContentType)
	_ = json.NewEncoder(w).Encode(page)
}

func parseInt(text string, fallback int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fallback
	}
	return n
}

// visible returns the accounts as they were before the configured lag, in the order in
// which they were added.
func (d *Directory) visible(now time.Time, inactiveOnly bool) []scim.User {
	d.mu.Lock()
	defer d.mu.Unlock()
	lag := time.Duration(d.faults.LagMS) * time.Millisecond
	active := map[string]bool{}
	var order []string
	for _, change := range d.history {
		if now.Sub(change.since) < lag {
			continue
		}
		if _, ok := active[change.account.Name]; !ok {
			order = append(order, change.account.Name)
		}
		active[change.account.Name] = change.account.Active
	}
	var users []scim.User
	for _, name := range order {
		if state := active[name]; !state || !inactiveOnly {
			users = append(users, scim.User{ID: name, UserName: name, Active: &state})
		}
	}
	return users
}
