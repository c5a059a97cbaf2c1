// Package sheet converts the operators' morning sheet, a CSV file, to the records of
// package opconfig, compares it with a configuration and reports the state of its
// rows.
//
// The sheet states all records of each row type that occurs in it; row types that do
// not occur are left as they are. docs/operators-guide.md describes the columns.
package sheet

import (
	"fmt"
	"io"
	"time"

	"heatherloom/internal/opconfig"
)

// Known is what Parse checks rows against besides the sheet itself.
type Known struct {
	// Now is the time that deadlines must be after, and the start of new leaving
	// rows. If it is zero, deadlines may be in the past.
	Now time.Time
	// Config holds the accounts, models and routes that the sheet does not state, and
	// the rollouts whose deadlines were accepted before. It may be nil; references to
	// row types that the sheet does not state are then not checked.
	Config *opconfig.Config
}

// Row is one row of the sheet.
type Row struct {
	// Number is the row in a spreadsheet program; the header is row 1 unless blank
	// rows precede it.
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
	// Stated holds the tables whose row type occurs in the sheet.
	Stated map[opconfig.Table]bool
}

// Problem is one fault of a sheet.
type Problem struct {
	// Row is the row in a spreadsheet program; 0 if the fault is about the whole file.
	Row int
	// Column is the name of the column, or its letter where the header is wrong; empty
	// if the fault is about the whole row.
	Column string
	// Message says what is wrong and what is allowed. It repeats no cell, because a
	// misplaced cell may be a secret.
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

// Parse reads a sheet and returns every fault in it. The sheet is usable only if
// there is none.
func Parse(r io.Reader, known Known) (Sheet, []Problem) {
	p := &parser{
		known: known,
		sheet: Sheet{Records: newTables(), Stated: map[opconfig.Table]bool{}},
		first: map[string]int{},
		empty: map[opconfig.Table]int{},
	}
	for _, row := range readRows(r, p) {
		p.readRow(row)
	}
	if len(p.problems) == 0 && len(p.sheet.Stated) == 0 {
		p.report(0, "", "the sheet has no rows; allowed is a header and at least one row")
	}
	p.checkEmpty()
	p.checkReferences()
	sortProblems(p.problems)
	return p.sheet, p.problems
}
