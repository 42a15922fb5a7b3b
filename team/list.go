package team

import (
	"context"

	"trefoilline.example/trefoilline/objectstore"
)

// Lister reads the store's records; every [objectstore.Store] is one.
type Lister interface {
	// List returns all objects whose key starts with the prefix.
	List(ctx context.Context, prefix string) ([]objectstore.Object, error)
}

// List returns the records of all keys, withdrawn ones too, in the order of
// their hashes. Errors are those of the store or a [CorruptError].
func List(ctx context.Context, store Lister) ([]Record, error) {
	objects, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(objects))
	for _, object := range objects {
		record, err := ParseRecord(object)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
