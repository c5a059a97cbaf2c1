package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// wallTimeFormat is the format of wall times, which are in UTC.
const wallTimeFormat = "2006-01-02T15:04:05.000Z"

// RenderText writes one key=value line per event. Values with characters other than
// printable ASCII, or with a space, a quote or an equals sign, are quoted.
func RenderText(w io.Writer, events []Event) error {
	for _, e := range events {
		if _, err := fmt.Fprintln(w, textLine(e)); err != nil {
			return err
		}
	}
	return nil
}

func textLine(e Event) string {
	var line strings.Builder
	fmt.Fprintf(&line, "%s clock=%s", e.Wall.UTC().Format(wallTimeFormat), e.Clock)
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&line, " %s=%s", name, quoteIfNeeded(value))
		}
	}
	add("instance", e.Instance)
	add("event", string(e.Kind))
	add("request", e.Request)
	add("account", e.Account)
	add("version", e.Version)
	add("upstream", e.Upstream)
	add("detail", e.Detail)
	return line.String()
}

func quoteIfNeeded(value string) string {
	for _, r := range value {
		if r <= ' ' || r == '"' || r == '=' || r > '~' {
			return strconv.Quote(value)
		}
	}
	return value
}

//go:embed page.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("timeline").Parse(pageSource))

// Page is the content of the HTML timeline page.
type Page struct {
	Title  string
	Events []Event
	// Missing lists the instances that did not respond.
	Missing []string
	// GeneratedAt is the time at which the page was generated.
	GeneratedAt time.Time
}

type pageData struct {
	Title   string
	Made    string
	Missing []string
	Lanes   []string
	Rows    []pageRow
}

// pageRow is the table row of one event. Each instance has its own column, a lane.
type pageRow struct {
	Wall  string
	Clock string
	// Before and After are the numbers of empty lanes on each side of the event. Each side
	// is a single table cell, so that the page size does not grow with lanes times events.
	Before int
	After  int
	Class  string
	Event  Event
}

// RenderHTML writes a self-contained page with one lane per instance. html/template escapes
// all text; the page contains no script and loads no resources.
func RenderHTML(w io.Writer, p Page) error {
	data := pageData{Title: p.Title, Made: p.GeneratedAt.UTC().Format(wallTimeFormat), Missing: p.Missing, Lanes: lanes(p.Events)}
	for _, e := range p.Events {
		lane := slices.Index(data.Lanes, e.Instance)
		data.Rows = append(data.Rows, pageRow{
			Wall:   e.Wall.UTC().Format(wallTimeFormat),
			Clock:  e.Clock.String(),
			Before: lane,
			After:  len(data.Lanes) - lane - 1,
			Class:  cssClass(e.Kind),
			Event:  e,
		})
	}
	return pageTemplate.Execute(w, data)
}

// lanes returns the instances of the events in alphabetical order.
func lanes(events []Event) []string {
	var ids []string
	for _, e := range events {
		ids = append(ids, e.Instance)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// cssClass returns the CSS class for an event: good, bad or plain.
func cssClass(k Kind) string {
	switch k {
	case KindRequestComplete, KindMemberUp, KindUpstreamUp:
		return "good"
	case KindAttemptFailed, KindRequestRefused, KindMemberDown, KindUpstreamDown:
		return "bad"
	default:
		return "plain"
	}
}
