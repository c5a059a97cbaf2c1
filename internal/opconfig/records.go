package opconfig

import (
	"iter"
	"sync"

	"github.com/tidwall/btree"
)

// Records is a copy-on-write table of records, ordered by id. Copies share their nodes,
// so that one change to a table of 44,000 client accounts copies a few nodes and not the
// table. A Records that belongs to a Config is immutable. A nil Records is empty.
type Records[T any] struct {
	// mu guards copying, which marks the nodes of tree as shared. Reads need no lock.
	mu   sync.Mutex
	tree *btree.Map[string, T]
}

// NewRecords returns a table of the given records, indexed by id.
func NewRecords[T any](records map[string]T) *Records[T] {
	r := &Records[T]{tree: new(btree.Map[string, T])}
	for id, record := range records {
		r.tree.Set(id, record)
	}
	return r
}

// Get returns the record with the given id.
func (r *Records[T]) Get(id string) (T, bool) {
	if r == nil {
		var none T
		return none, false
	}
	return r.tree.Get(id)
}

// Len returns the number of records.
func (r *Records[T]) Len() int {
	if r == nil {
		return 0
	}
	return r.tree.Len()
}

// All iterates over the records in the order of their ids.
func (r *Records[T]) All() iter.Seq2[string, T] {
	return func(yield func(string, T) bool) {
		if r != nil {
			r.tree.Scan(yield)
		}
	}
}

// clone returns a copy that can be modified without affecting the receiver.
func (r *Records[T]) clone() *Records[T] {
	if r == nil {
		return NewRecords[T](nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Records[T]{tree: r.tree.IsoCopy()}
}

func (r *Records[T]) set(id string, record T) { r.tree.Set(id, record) }

func (r *Records[T]) remove(id string) { r.tree.Delete(id) }
