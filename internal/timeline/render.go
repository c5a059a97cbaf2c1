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

// wallFormat shows the local wall clock of the instance in UTC.
const wallFormat = "2006-01-02T15:04:05.000Z"

// RenderText writes one key=value line per event. Values that hold anything but
// plain printable text are quoted.
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
	fmt.Fprintf(&line, "%s clock=%s", e.Wall.UTC().Format(wallFormat), e.Clock)
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&line, " %s=%s", name, quoted(value))
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

func quoted(value string) string {
	for _, r := range value {
		if r <= ' ' || r == '"' || r == '=' || r > '~' {
			return strconv.Quote(value)
		}
	}
	return value
}

//go:embed page.html.tmpl
var pageText string

var page = template.Must(template.New("timeline").Parse(pageText))

// Page is the content of the HTML page.
type Page struct {
	Title  string
	Events []Event
	// Missing are the instances that did not answer.
	Missing []string
	// Made is the time of the page.
	Made time.Time
}

type pageData struct {
	Title   string
	Made    string
	Missing []string
	Lanes   []string
	Rows    []pageRow
}

// pageRow is one event in the lane of its instance.
type pageRow struct {
	Wall  string
	Clock string
	// Before and After are the numbers of empty lanes on each side of the event. Each
	// side is one cell, so that the page does not grow with lanes times events.
	Before int
	After  int
	Class  string
	Event  Event
}

// RenderHTML writes one self-contained page with a lane per instance. All text is
// escaped by html/template; the page holds no script and loads nothing.
func RenderHTML(w io.Writer, p Page) error {
	data := pageData{Title: p.Title, Made: p.Made.UTC().Format(wallFormat), Missing: p.Missing, Lanes: lanes(p.Events)}
	for _, e := range p.Events {
		lane := slices.Index(data.Lanes, e.Instance)
		data.Rows = append(data.Rows, pageRow{
			Wall:   e.Wall.UTC().Format(wallFormat),
			Clock:  e.Clock.String(),
			Before: lane,
			After:  len(data.Lanes) - lane - 1,
			Class:  classOf(e.Kind),
			Event:  e,
		})
	}
	return page.Execute(w, data)
}

// lanes returns the instances in alphabetical order.
func lanes(events []Event) []string {
	var ids []string
	for _, e := range events {
		ids = append(ids, e.Instance)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// classOf returns the style of an event: good, bad or plain.
func classOf(k Kind) string {
	switch k {
	case KindComplete, KindMemberUp, KindUpstreamUp:
		return "good"
	case KindAttemptFailed, KindRefused, KindMemberDown, KindUpstreamDown:
		return "bad"
	default:
		return "plain"
	}
}
