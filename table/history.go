package table

import (
	"context"
	"errors"

	"trefoilline.example/trefoilline/objectstore"
)

// History returns the manifests of the latest versions, the newest first. It returns
// at most limit manifests; a limit of 0 means all that were not pruned. Each
// manifest costs one read. Errors are those of the source, a [NoTableError] or a
// [CorruptObjectError].
func History(ctx context.Context, source Getter, limit int) ([]Manifest, error) {
	var manifests []Manifest
	err := walkHistory(ctx, source, func(m Manifest, _ Hash) bool {
		manifests = append(manifests, m)
		return limit == 0 || len(manifests) < limit
	})
	return manifests, err
}

// ReadVersion loads the given version. It first reads the manifest of each newer
// version, one after the other. Errors are those of the source,
// a [NoTableError], a [VersionNotFoundError] or a [CorruptObjectError].
func LoadEarlierVersion(ctx context.Context, source Getter, version Version) (*Snapshot, error) {
	var newest, oldest Version
	var found Hash
	err := walkHistory(ctx, source, func(m Manifest, hash Hash) bool {
		newest, oldest = max(newest, m.Version), m.Version
		if m.Version == version {
			found = hash
		}
		return m.Version > version
	})
	if err != nil {
		return nil, err
	}
	if found == "" {
		return nil, &VersionNotFoundError{
			Version: version,
			Oldest:  oldest,
			Newest:  newest,
		}
	}
	reader := Reader{}
	return reader.loadSnapshot(ctx, source, Head{
		Version:      version,
		ManifestHash: found,
	})
}

// walkHistory calls visit for the manifests from the newest to the oldest, until
// visit returns false.
func walkHistory(ctx context.Context, source Getter, visit func(Manifest, Hash) bool) error {
	content, err := fetchHead(ctx, source)
	if err != nil {
		return err
	}
	head, err := decodeHead(content)
	if err != nil {
		return err
	}
	return walkHistoryFrom(ctx, source, head, visit)
}

// walkHistoryFrom is [walkHistory] for a known head. It ends without an error at the
// first version that was pruned.
func walkHistoryFrom(ctx context.Context, source Getter, head Head, visit func(Manifest, Hash) bool) error {
	version, hash := head.Version, head.ManifestHash
	for hash != "" {
		_, m, err := fetchManifest(ctx, source, version, hash)
		var notFound *objectstore.NotFoundError
		if errors.As(err, &notFound) && version < head.Version {
			return nil
		}
		if err != nil {
			return err
		}
		if !visit(m, hash) {
			return nil
		}
		version, hash = version-1, m.PreviousManifest
	}
	return nil
}
