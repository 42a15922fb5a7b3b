package team

import (
	"context"

	"trefoilline.example/trefoilline/objectstore"
)

// Lister reads the store's records; every [objectstore.Store] is one.
type Lister interface {
	// ListKeyRecords returns all objects whose key starts with the prefix.
	List(ctx context.Context, prefix string) ([]objectstore.Object, error)
}

// ListKeyRecords returns the records of all keys, withdrawn ones too, in the order of
// their hashes. Errors are those of the store or a [CorruptRecordError].
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
