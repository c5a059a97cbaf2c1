package sheet

import (
	"encoding/hex"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"heatherloom/internal/opconfig"
)

const (
	// hashPrefix marks a key cell that holds the SHA-256 hash of the key.
	hashPrefix = "sha256:"
	hashBytes  = 32
	// minKeyLength is the minimum length of a key in plain text.
	minKeyLength  = 16
	maxNameLength = 128
	// maxRate bounds rates, in requests per second, and bursts, in requests.
	maxRate = 1e6
	// maxSlots bounds the quota slots of one failure domain.
	maxSlots = 256
	// reservedPrefix is the path prefix of the caller API.
	reservedPrefix = "/v1"
)

var (
	// idPattern excludes @, which separates a model from its version.
	idPattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)
	numberPattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)
	// keyPattern matches the characters that a bearer token may contain (RFC 6750).
	keyPattern = regexp.MustCompile(`^[A-Za-z0-9._~+/=-]+$`)
	methods    = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}
)

// deadlineLayouts are the accepted formats of a deadline, RFC 3339 with and without
// seconds.
var deadlineLayouts = []string{time.RFC3339, "2006-01-02T15:04Z07:00"}

func (p *parser) readAccount(r row) {
	account := opconfig.Account{
		Name:       p.name(r, columnName),
		Rate:       p.number(r, columnRate),
		Burst:      p.number(r, columnBurst),
		HomeRegion: p.id(r, columnHome),
		Suspended:  p.choice(r, columnState, "active", "suspended") == "suspended",
	}
	if account.Burst > 0 && account.Burst < 1 {
		p.report(r.number, columnBurst, "the burst is below one request; allowed is from 1 to %.0f", maxRate)
	}
	p.checkUnique(r, columnName, "account", account.Name)
	p.sheet.Records.Accounts[account.Name] = account
	p.addRow(r, opconfig.TableAccounts, account.Name, account.Name)
}

func (p *parser) readAPIKey(r row) {
	key := opconfig.APIKey{
		Hash:    p.keyHash(r),
		ID:      p.name(r, columnName),
		Account: p.name(r, columnAccount),
		Revoked: p.choice(r, columnState, "active", "withdrawn") == "withdrawn",
	}
	p.checkUnique(r, columnName, "key name", key.ID)
	p.checkUnique(r, columnKey, "key", key.Hash)
	if key.Account != "" {
		p.references = append(p.references, reference{r.number, columnAccount, opconfig.TableAccounts, key.Account})
	}
	p.sheet.Records.APIKeys[key.Hash] = key
	p.addRow(r, opconfig.TableAPIKeys, key.Hash, key.ID)
}

func (p *parser) readModel(r row) {
	model := opconfig.Model{Name: p.id(r, columnName), Version: p.id(r, columnVersion)}
	p.checkUnique(r, columnName, "model", model.Name)
	p.sheet.Records.Models[model.Name] = model
	p.addRow(r, opconfig.TableModels, model.Name, model.Name)
}

func (p *parser) readRoute(r row) {
	route := opconfig.Route{
		Prefix:     p.prefix(r),
		Service:    p.id(r, columnService),
		Public:     p.choice(r, columnOpen, "no", "yes") == "yes",
		Idempotent: p.methods(r),
		HomeRegion: p.id(r, columnHome),
	}
	p.checkUnique(r, columnName, "route", route.Prefix)
	p.sheet.Records.Routes[route.Prefix] = route
	p.addRow(r, opconfig.TableRoutes, route.Prefix, route.Prefix)
}

func (p *parser) readRollout(r row) {
	rollout := opconfig.Rollout{Target: p.id(r, columnName), Version: p.id(r, columnVersion)}
	rollout.Deadline = p.deadline(r, rollout.ID())
	p.checkUnique(r, columnName, "model or service", rollout.Target)
	if rollout.Target != "" {
		p.references = append(p.references, reference{r.number, columnName, opconfig.TableModels, rollout.Target})
	}
	p.sheet.Records.Rollouts[rollout.ID()] = rollout
	p.addRow(r, opconfig.TableRollouts, rollout.ID(), rollout.ID())
}

func (p *parser) readDrain(r row) {
	drain := opconfig.Drain{Instance: p.id(r, columnName), Since: p.known.Now.UTC().Truncate(time.Second)}
	p.checkUnique(r, columnName, "instance", drain.Instance)
	p.sheet.Records.Drains[drain.Instance] = drain
	p.addRow(r, opconfig.TableDrains, drain.Instance, drain.Instance)
}

func (p *parser) readFailureDomain(r row) {
	domain := opconfig.FailureDomain{Name: p.id(r, columnName), Region: p.id(r, columnHome), Slots: p.slots(r)}
	p.checkUnique(r, columnName, "failure domain", domain.Name)
	p.sheet.Records.FailureDomains[domain.Name] = domain
	p.addRow(r, opconfig.TableFailureDomains, domain.Name, domain.Name)
}

// name returns the cell and reports it unless it is a valid name of a client account
// or API key.
func (p *parser) name(r row, column string) string {
	cell := r.cells[column]
	if len(cell) > maxNameLength || strings.ContainsFunc(cell, func(c rune) bool { return !unicode.IsPrint(c) }) {
		p.report(r.number, column, "the cell is not a name; allowed are up to %d printable characters on one line", maxNameLength)
	}
	return cell
}

// id returns the cell and reports it unless it is a valid identifier of a model,
// version, service, region, instance or failure domain.
func (p *parser) id(r row, column string) string {
	cell := r.cells[column]
	if cell != "" && !idPattern.MatchString(cell) {
		p.report(r.number, column, "the cell is not an identifier; allowed are up to %d letters, digits and . _ : - with a letter or digit first", maxNameLength)
	}
	return cell
}

func (p *parser) number(r row, column string) float64 {
	cell := r.cells[column]
	if cell == "" {
		return 0
	}
	value, err := strconv.ParseFloat(cell, 64)
	if err != nil || !numberPattern.MatchString(cell) || value <= 0 || value > maxRate {
		p.report(r.number, column, "the cell is not a number in range; allowed is above 0 to %.0f with a decimal point, as in 20 or 0.5", maxRate)
		return 0
	}
	return value
}

func (p *parser) slots(r row) int {
	cell := r.cells[columnSlots]
	if cell == "" {
		return 0
	}
	value, err := strconv.Atoi(cell)
	if err != nil || value < 1 || value > maxSlots {
		p.report(r.number, columnSlots, "the cell is not a number of slots; allowed is a whole number from 1 to %d, at least the number of the domain's entry instances", maxSlots)
	}
	return value
}

// choice returns the cell in lower case and reports it unless it is one of the allowed
// values. An empty cell stands for the first of them.
func (p *parser) choice(r row, column string, allowed ...string) string {
	cell := strings.ToLower(r.cells[column])
	if cell == "" {
		return allowed[0]
	}
	if !slices.Contains(allowed, cell) {
		p.report(r.number, column, "unknown value; allowed are %s, and an empty cell for %s", strings.Join(allowed, ", "), allowed[0])
	}
	return cell
}

// keyHash returns the hash of the API key in the key cell, or "" if the cell holds
// neither a key nor a hash.
func (p *parser) keyHash(r row) string {
	cell := r.cells[columnKey]
	if cell == "" {
		return ""
	}
	if digits, ok := strings.CutPrefix(cell, hashPrefix); ok {
		raw, err := hex.DecodeString(digits)
		if err != nil || len(raw) != hashBytes {
			p.report(r.number, columnKey, "the hash is malformed; allowed is %s followed by %d hexadecimal digits", hashPrefix, 2*hashBytes)
			return ""
		}
		return hex.EncodeToString(raw)
	}
	if len(cell) < minKeyLength || !keyPattern.MatchString(cell) {
		p.report(r.number, columnKey, "the cell is not a key; allowed are at least %d letters, digits and . _ ~ + / = - or %s and a hash", minKeyLength, hashPrefix)
		return ""
	}
	return opconfig.HashAPIKey(cell)
}

func (p *parser) prefix(r row) string {
	cell := r.cells[columnName]
	if cell == "" {
		return ""
	}
	if !strings.HasPrefix(cell, "/") || path.Clean(cell) != cell || strings.ContainsAny(cell, "?#% \t\n") {
		p.report(r.number, columnName, "the cell is not a path; allowed is / and path segments without query and without / at the end, as in /orders")
	}
	if cell == reservedPrefix || strings.HasPrefix(cell, reservedPrefix+"/") {
		p.report(r.number, columnName, "the caller API uses this path; allowed are paths outside %s", reservedPrefix)
	}
	return cell
}

// methods returns the HTTP methods of the cell, which are separated by spaces.
func (p *parser) methods(r row) []string {
	var found []string
	for _, method := range strings.Fields(strings.ToUpper(r.cells[columnMethods])) {
		if !slices.Contains(methods, method) || slices.Contains(found, method) {
			p.report(r.number, columnMethods, "the cell is not a list of methods; allowed are %s, each once, separated by spaces", strings.Join(methods, ", "))
			return nil
		}
		found = append(found, method)
	}
	slices.Sort(found)
	return found
}

// deadline returns the time of the cell. A past deadline is allowed if the rollout
// was accepted with it earlier, so that a sheet stays valid after its deadlines pass.
func (p *parser) deadline(r row, rollout string) time.Time {
	cell := r.cells[columnDeadline]
	if cell == "" {
		return time.Time{}
	}
	deadline, ok := parseDeadline(cell)
	if !ok {
		p.report(r.number, columnDeadline, "the cell is not a time; allowed is RFC 3339 with the offset from UTC, as in 2026-12-04T16:00:00+11:00")
		return time.Time{}
	}
	if deadline.After(p.known.Now) || p.deadlineAccepted(rollout, deadline) {
		return deadline
	}
	p.report(r.number, columnDeadline, "the deadline has passed; allowed is a time after %s", p.known.Now.UTC().Format(time.RFC3339))
	return deadline
}

// deadlineAccepted reports whether the configuration has the rollout with this deadline.
func (p *parser) deadlineAccepted(rollout string, deadline time.Time) bool {
	if p.known.Now.IsZero() {
		return true
	}
	if p.known.Config == nil {
		return false
	}
	previous, ok := p.known.Config.Rollouts[rollout]
	return ok && previous.Deadline.Equal(deadline)
}

// parseDeadline returns the time in UTC. It rejects times whose year in UTC cannot be
// encoded in JSON.
func parseDeadline(cell string) (time.Time, bool) {
	for _, layout := range deadlineLayouts {
		t, err := time.Parse(layout, cell)
		if utc := t.UTC(); err == nil && utc.Year() >= 1 && utc.Year() <= 9999 {
			return utc, true
		}
	}
	return time.Time{}, false
}
