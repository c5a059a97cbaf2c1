package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	byteOrderMark = "\ufeff"
	// maxBytes bounds the size of a sheet; 44,000 client accounts with one key each take
	// about 10 MB.
	maxBytes = 64 << 20
)

// columns lists all columns of a sheet. They may occur in any order, and columns that
// no row uses may be absent.
var columns = []string{
	columnType, columnName, columnAccount, columnKey, columnState, columnRate, columnBurst, columnHome,
	columnService, columnMethods, columnOpen, columnVersion, columnDeadline, columnNote, columnSlots,
}

const (
	columnType     = "type"
	columnName     = "name"
	columnAccount  = "account"
	columnKey      = "key"
	columnState    = "state"
	columnRate     = "rate"
	columnBurst    = "burst"
	columnHome     = "home"
	columnService  = "service"
	columnMethods  = "methods"
	columnOpen     = "open"
	columnVersion  = "version"
	columnDeadline = "deadline"
	columnNote     = "note"
	columnSlots    = "slots"
)

// csvRecord is one CSV record with its row number.
type csvRecord struct {
	row   int
	cells []string
}

// row is one data row. cells is keyed by column name and holds no empty cells.
type row struct {
	number int
	cells  map[string]string
}

// readRows returns the data rows that are not blank.
func readRows(r io.Reader, p *parser) []row {
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		p.report(0, "", "the sheet cannot be read: %v", err)
		return nil
	}
	if len(raw) > maxBytes {
		p.report(0, "", "the sheet is too large; allowed are %d MB", maxBytes>>20)
		return nil
	}
	records := readRecords(bytes.TrimPrefix(raw, []byte(byteOrderMark)), p)
	if len(records) == 0 {
		p.report(0, "", "the sheet is empty; allowed is a header with the columns %s", strings.Join(columns, ", "))
		return nil
	}
	header, ok := readHeader(records[0], p)
	if !ok {
		return nil // without a valid header, cells cannot be assigned to columns
	}
	var rows []row
	for _, record := range records[1:] {
		rows = append(rows, assignColumns(record, header, p))
	}
	return rows
}

// readRecords splits the file into records and skips blank ones. A record with a syntax
// error is reported and skipped.
func readRecords(raw []byte, p *parser) []csvRecord {
	reader := csv.NewReader(bytes.NewReader(raw))
	reader.FieldsPerRecord = -1
	var records []csvRecord
	// extraLines counts line breaks inside quoted cells, which spreadsheet programs do
	// not count as rows.
	extraLines := 0
	for {
		cells, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return records
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			p.report(syntax.StartLine-extraLines, "", "the row is not CSV: %v; allowed are cells separated by commas, and quotes in pairs around a cell and doubled inside it", syntax.Err)
			extraLines += syntax.Line - syntax.StartLine
			continue
		}
		if err != nil {
			p.report(0, "", "the sheet cannot be read: %v", err)
			return records
		}
		line, _ := reader.FieldPos(0)
		number := line - extraLines
		extraLines += strings.Count(strings.Join(cells, ""), "\n")
		if !isBlank(cells) {
			records = append(records, csvRecord{row: number, cells: cells})
		}
	}
}

func isBlank(cells []string) bool {
	return !slices.ContainsFunc(cells, func(cell string) bool { return strings.TrimSpace(cell) != "" })
}

// readHeader returns the column name of each cell position, which is empty for blank
// header cells, and whether the header is valid.
func readHeader(header csvRecord, p *parser) ([]string, bool) {
	problemsBefore := len(p.problems)
	var names []string
	for i, cell := range header.cells {
		name := strings.ToLower(strings.TrimSpace(cell))
		switch {
		case name != "" && !slices.Contains(columns, name):
			p.report(header.row, columnLetters(i), "unknown column; allowed are %s", strings.Join(columns, ", "))
		case name != "" && slices.Contains(names, name):
			p.report(header.row, columnLetters(i), "column %s occurs twice; allowed is each column once", name)
		}
		names = append(names, name)
	}
	for _, name := range []string{columnType, columnName} {
		if !slices.Contains(names, name) {
			p.report(header.row, name, "the column is missing from the header; allowed are %s", strings.Join(columns, ", "))
		}
	}
	return names, len(p.problems) == problemsBefore
}

// assignColumns returns the row with its cells keyed by column name. Cells without a
// column name are keyed by their column letters.
func assignColumns(r csvRecord, header []string, p *parser) row {
	result := row{number: r.row, cells: map[string]string{}}
	for i, cell := range r.cells {
		cell = strings.TrimSpace(cell)
		if cell == "" {
			continue
		}
		column := columnLetters(i)
		named := i < len(header) && header[i] != ""
		if named {
			column = header[i]
		}
		if !named {
			p.report(r.row, column, "the cell has no column name in the header; allowed are cells below the header's names")
		} else if !utf8.ValidString(cell) {
			p.report(r.row, column, "the cell is not UTF-8 text; allowed is a file saved as CSV UTF-8")
		}
		result.cells[column] = cell
	}
	return result
}

// columnLetters returns the letters that spreadsheet programs show for a column
// position.
func columnLetters(position int) string {
	const alphabet = 26
	text := ""
	for n := position + 1; n > 0; n = (n - 1) / alphabet {
		text = fmt.Sprintf("%c%s", 'A'+(n-1)%alphabet, text)
	}
	return text
}
