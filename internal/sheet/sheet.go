// Package sheet converts the operators' morning sheet, a CSV file, to the records of
// package opconfig, compares it with a configuration and reports the state of its
// rows.
//
// A sheet is declarative: it lists all records of each row type that occurs in it.
// Row types that do not occur are left unchanged. docs/operators-guide.md describes the
// columns.
//
// Texts for operators keep the operators' words, which differ from the code's in these
// cases: "change" is ActionUpdate, "withdraw" is ActionRevoke (a "withdrawn" key is one with
// APIKey.Revoked), "taken back" is RowRolledBack, and a "leaving" row is an opconfig.Drain.
package sheet

import (
	"fmt"
	"io"
	"time"

	"heatherloom/internal/opconfig"
)

// ParseOptions holds the time and the configuration that Parse checks rows against.
type ParseOptions struct {
	// Now is the time that deadlines must be after, and the start time of new drains.
	// If it is zero, deadlines may be in the past.
	Now time.Time
	// Config holds the accounts, models and routes that the sheet does not declare, and
	// the rollouts whose deadlines were accepted before. It may be nil; references to
	// row types that the sheet does not declare are then not checked.
	Config *opconfig.Config
}

// Row is one row of the sheet.
type Row struct {
	// Number is the row number in a spreadsheet program; the header is row 1 unless
	// blank rows precede it.
	Number int
	// Type is the row type, as in "account".
	Type string
	// Name identifies the record for operators. It never contains a key's secret.
	Name string
	// Table and ID locate the record in a configuration.
	Table opconfig.Table
	ID    string
}

// Sheet is a parsed sheet.
type Sheet struct {
	Rows []Row
	// Records holds the records of the rows.
	Records Tables
	// DeclaredTables holds the tables that the sheet declares: those whose row type occurs in it.
	DeclaredTables map[opconfig.Table]bool
}

// Problem is one error in a sheet.
type Problem struct {
	// Row is the row number in a spreadsheet program; 0 if the error concerns the whole
	// file.
	Row int
	// Column is the name of the column, or its letter if the header is wrong or has no
	// name for it; empty if the error concerns the whole row.
	Column string
	// Message describes the error and the allowed values. It never contains the cell's
	// text, because a misplaced cell may hold a secret.
	Message string
}

// String formats the problem as "row 7, column rate: message".
func (p Problem) String() string {
	switch {
	case p.Row == 0:
		return p.Message
	case p.Column == "":
		return fmt.Sprintf("row %d: %s", p.Row, p.Message)
	default:
		return fmt.Sprintf("row %d, column %s: %s", p.Row, p.Column, p.Message)
	}
}

// Parse reads a sheet and returns all errors in it. The sheet is usable only if there
// are none.
func Parse(r io.Reader, known ParseOptions) (Sheet, []Problem) {
	p := &parser{
		known:     known,
		sheet:     Sheet{Records: newTables(), DeclaredTables: map[opconfig.Table]bool{}},
		firstRows: map[string]int{},
		emptyRows: map[opconfig.Table]int{},
	}
	for _, row := range readRows(r, p) {
		p.readRow(row)
	}
	if len(p.problems) == 0 && len(p.sheet.DeclaredTables) == 0 {
		p.report(0, "", "the sheet has no rows; allowed is a header and at least one row")
	}
	p.checkEmptyTables()
	p.checkReferences()
	sortProblems(p.problems)
	return p.sheet, p.problems
}
