package team

import (
	"context"

	"trefoilline.example/trefoilline/objectstore"
)

// Lister lists objects of the store. Every [objectstore.Store] implements it.
type Lister interface {
	// List returns all objects whose object key starts with the prefix.
	List(ctx context.Context, prefix string) ([]objectstore.Object, error)
}

// ListKeyRecords returns the records of all API keys, including withdrawn ones. They
// are in the order of their hashes, since the store lists objects in key order. It
// returns a [CorruptRecordError] or an error of the store.
func ListKeyRecords(ctx context.Context, store Lister) ([]KeyRecord, error) {
	objects, err := store.List(ctx, KeyRecordPrefix)
	if err != nil {
		return nil, err
	}
	records := make([]KeyRecord, 0, len(objects))
	for _, object := range objects {
		record, err := ParseKeyRecord(object)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
