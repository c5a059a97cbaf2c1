package storefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"heatherloom/internal/external"
)

// Guards against a key whose end, loss in a restore or change is not passed on, and against keys that nobody observes.
func TestObserverGetsTheKeysThatItNames(t *testing.T) {
	var got []string
	o := &Observer{Keys: []string{"d/1", "d/2"}, Observe: func(e external.Entry, era int64) {
		got = append(got, fmt.Sprint(e.Key, " ", e.ModRevision, " ", era))
	}}
	f := &Feed{Observer: o}
	f.view = newView(f.Documents, f.Log)
	f.view.documents = noDocuments{}
	o.observeAll([]external.Entry{{Key: "d/1", ModRevision: 3}, {Key: "other", ModRevision: 4}}, 1)
	f.applyChanges(external.Changes{Era: 1, Events: []external.WatchEvent{
		{Entry: external.Entry{Key: "d/2", ModRevision: 5}}, {Entry: external.Entry{Key: "other", ModRevision: 6}},
		{Entry: external.Entry{Key: "d/1", ModRevision: 7}, Deleted: true},
	}}, time.Now())
	o.observeAll([]external.Entry{{Key: "d/1", ModRevision: 3}}, 2)
	want := []string{"d/1 3 1", "d/2 0 1", "d/2 5 1", "d/1 0 1", "d/1 3 2", "d/2 0 2"}
	if !slices.Equal(got, want) {
		t.Errorf("observed %q, want %q", got, want)
	}
	f.Observer = nil
	f.applyChanges(external.Changes{Events: []external.WatchEvent{{Entry: external.Entry{Key: "d/1"}}}}, time.Now())
}

// noDocuments decodes nothing.
type noDocuments struct{ external.DocumentCodec }

func (noDocuments) Decode(external.Entry) (external.Document, error) {
	return external.Document{}, nil
}
