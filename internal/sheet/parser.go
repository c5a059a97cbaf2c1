package sheet

import (
	"fmt"
	"slices"
	"strings"

	"heatherloom/internal/opconfig"
)

// rowType describes the rows of one type.
type rowType struct {
	name  string
	table opconfig.Table
	// required and optional are the columns of the type other than type and note.
	required []string
	optional []string
	// read parses and stores the record of a row whose columns were checked.
	read func(*parser, row)
}

func (t rowType) columns() []string {
	return slices.Concat([]string{columnType}, t.required, t.optional, []string{columnNote})
}

func rowTypes() []rowType {
	return []rowType{
		{"account", opconfig.TableAccounts, []string{columnName, columnRate, columnBurst}, []string{columnHome, columnState}, (*parser).readAccount},
		{"key", opconfig.TableAPIKeys, []string{columnName, columnAccount, columnKey}, []string{columnState}, (*parser).readAPIKey},
		{"model", opconfig.TableModels, []string{columnName, columnVersion}, nil, (*parser).readModel},
		{"route", opconfig.TableRoutes, []string{columnName, columnService}, []string{columnMethods, columnOpen, columnHome}, (*parser).readRoute},
		{"version", opconfig.TableRollouts, []string{columnName, columnVersion, columnDeadline}, nil, (*parser).readRollout},
		{"domain", opconfig.TableFailureDomains, []string{columnName, columnHome, columnSlots}, nil, (*parser).readFailureDomain},
		{"leaving", opconfig.TableDrains, []string{columnName}, nil, (*parser).readDrain},
	}
}

// typeOf returns the row type of a table.
func typeOf(table opconfig.Table) string {
	for _, t := range rowTypes() {
		if t.table == table {
			return t.name
		}
	}
	return string(table)
}

// stateNone declares that a row type has no records. Such a row has no cells other than
// type, state and note.
const stateNone = "none"

// parser collects the rows and errors of one sheet.
type parser struct {
	known    ParseOptions
	sheet    Sheet
	problems []Problem
	// firstRows holds the row in which each unique value occurred first; see checkUnique.
	firstRows map[string]int
	// emptyRows holds the row that declares a table to have no records.
	emptyRows map[opconfig.Table]int
	// references are checked after all rows have been read.
	references []reference
}

// reference is a cell that must name a record of the sheet or of the configuration.
type reference struct {
	row    int
	column string
	table  opconfig.Table
	name   string
}

func (p *parser) report(row int, column, format string, args ...any) {
	p.problems = append(p.problems, Problem{Row: row, Column: column, Message: fmt.Sprintf(format, args...)})
}

func (p *parser) readRow(r row) {
	types := rowTypes()
	index := slices.IndexFunc(types, func(t rowType) bool { return t.name == strings.ToLower(r.cells[columnType]) })
	if index < 0 {
		p.report(r.number, columnType, "missing or unknown row type; allowed are %s", typeNames(types))
		return
	}
	t := types[index]
	p.sheet.DeclaredTables[t.table] = true
	if p.declaresNoRecords(r) {
		p.emptyRows[t.table] = r.number
		return
	}
	p.checkColumns(r, t)
	t.read(p, r)
}

func typeNames(types []rowType) string {
	var names []string
	for _, t := range types {
		names = append(names, t.name)
	}
	return strings.Join(names, ", ")
}

// declaresNoRecords reports whether the row declares that its type has no records.
func (p *parser) declaresNoRecords(r row) bool {
	for column := range r.cells {
		if column != columnType && column != columnState && column != columnNote {
			return false
		}
	}
	return strings.ToLower(r.cells[columnState]) == stateNone
}

func (p *parser) checkColumns(r row, t rowType) {
	for _, column := range t.required {
		if r.cells[column] == "" {
			p.report(r.number, column, "the cell is empty; allowed is a value, as %s rows require %s", t.name, strings.Join(t.required, ", "))
		}
	}
	for _, column := range columns {
		if r.cells[column] != "" && !slices.Contains(t.columns(), column) {
			p.report(r.number, column, "%s rows do not use this column; allowed are %s", t.name, strings.Join(t.columns(), ", "))
		}
	}
}

// checkUnique reports an error in column if an earlier row used the same id for the same
// kind of value. Empty ids are ignored.
func (p *parser) checkUnique(r row, column, kind, id string) {
	if id == "" {
		return
	}
	key := kind + "\x00" + id
	if first, ok := p.firstRows[key]; ok {
		p.report(r.number, column, "the %s is already used in row %d; allowed is one row for each", kind, first)
		return
	}
	p.firstRows[key] = r.number
}

// addRow adds the row of a record to the sheet.
func (p *parser) addRow(r row, table opconfig.Table, id, name string) {
	p.sheet.Rows = append(p.sheet.Rows, Row{Number: r.number, Type: typeOf(table), Name: name, Table: table, ID: id})
}

// checkEmptyTables reports rows of a type that another row declares to have no records.
func (p *parser) checkEmptyTables() {
	for _, r := range p.sheet.Rows {
		if emptyRow, ok := p.emptyRows[r.Table]; ok {
			p.report(r.Number, columnType, "row %d states that there are no %s rows; allowed is either", emptyRow, r.Type)
		}
	}
}

// checkReferences reports API keys of unknown accounts and rollouts of unknown models
// and services.
func (p *parser) checkReferences() {
	// The names are collected once, because collecting them for each of 44,000 keys took
	// 7 min.
	accounts, accountsKnown := p.namesOf(opconfig.TableAccounts)
	models, modelsKnown := p.namesOf(opconfig.TableModels)
	services, servicesKnown := p.namesOf(opconfig.TableRoutes)
	for _, ref := range p.references {
		switch {
		case ref.table == opconfig.TableAccounts && accountsKnown && !accounts[ref.name]:
			p.report(ref.row, ref.column, "unknown client account; allowed are the names of account rows, or of accepted accounts if the sheet has no account rows")
		case ref.table == opconfig.TableModels && (modelsKnown || servicesKnown) && !models[ref.name] && !services[ref.name]:
			p.report(ref.row, ref.column, "unknown model or service; allowed are the names of model rows and the services of route rows, or the accepted ones for types that the sheet does not have")
		}
	}
}

// namesOf returns the names that references to a table may use: accounts, models, or
// the services of routes. It returns false if neither the sheet nor a configuration
// holds them.
func (p *parser) namesOf(table opconfig.Table) (map[string]bool, bool) {
	if p.sheet.DeclaredTables[table] {
		return namesIn(p.sheet.Records, table), true
	}
	if p.known.Config == nil {
		return nil, false
	}
	return namesIn(TablesOf(p.known.Config), table), true
}

func namesIn(tables Tables, table opconfig.Table) map[string]bool {
	names := map[string]bool{}
	switch table {
	case opconfig.TableAccounts:
		for name := range tables.Accounts {
			names[name] = true
		}
	case opconfig.TableModels:
		for name := range tables.Models {
			names[name] = true
		}
	case opconfig.TableRoutes:
		for _, route := range tables.Routes {
			names[route.Service] = true
		}
	}
	return names
}

func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Row - b.Row })
}
