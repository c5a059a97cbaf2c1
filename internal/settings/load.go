package settings

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

const byteOrderMark = "\ufeff"

// lineOptions prevents ini.v1 from cutting a value at a # or ; within it and from joining
// lines that end with a backslash.
var lineOptions = ini.LoadOptions{
	SpaceBeforeInlineComment: true,
	IgnoreContinuation:       true,
}

// Load reads the file at path and returns all its problems in the order of their lines. The
// settings are valid only if there are none.
func Load(path string) (Settings, []Problem) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Problem{{File: path, Message: fmt.Sprintf("the file cannot be read: %v", err)}}
	}
	p := parser{path: path, values: map[string]rawValue{}, sections: map[string]int{}}
	lines := strings.Split(strings.TrimPrefix(string(raw), byteOrderMark), "\n")
	for i, line := range lines {
		p.readLine(i+1, line)
	}
	s := p.settings(len(lines))
	p.checkListeners()
	p.checkTLS(s)
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	return s, p.problems
}

// rawValue is the text of a value and its line number.
type rawValue struct {
	text string
	line int
}

// parser collects the values and problems of one file.
type parser struct {
	path string
	// section is the section of the current line; empty before the first section.
	section string
	// values maps section.key to its value.
	values map[string]rawValue
	// sections maps each section to the line of its header.
	sections map[string]int
	problems []Problem
}

func (p *parser) report(line int, key, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.path, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// readLine parses a single line separately, so that each problem has a line number and a
// syntax error does not hide other problems. Messages do not quote the line, because it may
// contain a secret.
func (p *parser) readLine(number int, line string) {
	file, err := ini.LoadSources(lineOptions, []byte(line))
	if err != nil {
		p.report(number, "", "invalid line; allowed are [section], key = value on one line, comments after # or ;, and empty lines")
		return
	}
	for _, section := range file.Sections() {
		if section.Name() != ini.DefaultSection {
			p.openSection(number, section.Name())
		}
		for _, k := range section.Keys() {
			p.addValue(number, k.Name(), strings.TrimSpace(k.Value()))
		}
	}
}

func (p *parser) openSection(number int, name string) {
	p.section = name
	if first, ok := p.sections[name]; ok {
		p.report(number, name, "section [%s] occurs twice; it starts on line %d", name, first)
		return
	}
	p.sections[name] = number
	if allowed := sectionNames(); !slices.Contains(allowed, name) {
		p.report(number, name, "unknown section; allowed are %s", strings.Join(allowed, ", "))
	}
}

func (p *parser) addValue(number int, name, text string) {
	if p.section == "" {
		p.report(number, name, "the key is in no section; allowed sections are %s", strings.Join(sectionNames(), ", "))
		return
	}
	full := p.section + "." + name
	allowed := keysOf(p.section)
	if len(allowed) == 0 {
		return // the unknown section was already reported
	}
	if !slices.Contains(allowed, name) {
		p.report(number, full, "unknown key; allowed in [%s] are %s", p.section, strings.Join(allowed, ", "))
		return
	}
	if first, ok := p.values[full]; ok {
		p.report(number, full, "the key occurs twice; its first value is on line %d", first.line)
		return
	}
	p.values[full] = rawValue{text: text, line: number}
}

// settings returns the settings with all values and defaults. Keys of a missing section are
// reported at lastLine.
func (p *parser) settings(lastLine int) Settings {
	var s Settings
	for _, k := range keys {
		value, ok := p.values[k.name]
		if !ok && p.requires(k) {
			p.report(p.lineOf(k.section(), lastLine), k.name, "the key is missing; %v", errEmpty)
			continue
		}
		if !ok {
			value.text = k.defaultText
		}
		if err := k.field.set(&s, value.text); err != nil {
			p.report(value.line, k.name, "%v", err)
		}
	}
	return s
}

func (p *parser) lineOf(section string, lastLine int) int {
	if line, ok := p.sections[section]; ok {
		return line
	}
	return lastLine
}

// checkListeners reports listeners with the same address. Port 0 is exempt, because it gives each
// listener its own free port.
func (p *parser) checkListeners() {
	used := map[string]string{}
	for _, k := range keys {
		value := p.values[k.name]
		if k.section() != "listeners" || strings.Contains(k.name, "advertise") || value.text == "" || strings.HasSuffix(value.text, ":0") {
			continue
		}
		if other, ok := used[value.text]; ok {
			p.report(value.line, k.name, "%q is also the address of %s; allowed is a different one for each listener", value.text, other)
			continue
		}
		used[value.text] = k.name
	}
}

// requires reports whether the file must set the key. Some keys are required only with one
// value of platform.protocol.
func (p *parser) requires(k key) bool {
	protocol := cmp.Or(p.values["platform.protocol"].text, ProtocolEtcd)
	return k.defaultText == required || slices.Contains(requiredBy[protocol], k.name)
}

// checkTLS reports a [tls] section in which only some of the keys are set.
func (p *parser) checkTLS(s Settings) {
	set := s.TLS.Cert != ""
	if set != (s.TLS.Key != "") || set != (s.TLS.CA != "") {
		p.report(p.sections["tls"], "tls", "only a part of the section is set; allowed are cert, key and ca together, or none of them")
	}
}

func sectionNames() []string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section()) {
			names = append(names, k.section())
		}
	}
	return names
}

func keysOf(section string) []string {
	var names []string
	for _, k := range keys {
		if k.section() == section {
			names = append(names, strings.TrimPrefix(k.name, section+"."))
		}
	}
	return names
}
