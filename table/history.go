package table

import (
	"context"
	"errors"

	"trefoilline.example/trefoilline/objectstore"
)

// History returns the manifests of the latest versions, the newest first, at
// most limit of them; zero means all that were not pruned. Each costs one read.
func History(ctx context.Context, source Getter, limit int) ([]Manifest, error) {
	var manifests []Manifest
	err := walk(ctx, source, func(m Manifest, _ Hash) bool {
		manifests = append(manifests, m)
		return limit == 0 || len(manifests) < limit
	})
	return manifests, err
}

// ReadVersion returns an earlier version whole. Errors are those of the
// source, a [NoTableError] or a [VersionNotFoundError].
func ReadVersion(ctx context.Context, source Getter, version Version) (*Snapshot, error) {
	var newest, oldest Version
	var found Hash
	err := walk(ctx, source, func(m Manifest, sum Hash) bool {
		newest, oldest = max(newest, m.Version), m.Version
		if m.Version == version {
			found = sum
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
	return reader.load(ctx, source, Head{
		Version:      version,
		ManifestHash: found,
	})
}

// walk visits the manifests from the newest to the oldest, until the visitor
// returns false.
func walk(ctx context.Context, source Getter, visit func(Manifest, Hash) bool) error {
	content, err := getHead(ctx, source)
	if err != nil {
		return err
	}
	head, err := decodeHead(content)
	if err != nil {
		return err
	}
	return walkFrom(ctx, source, head, visit)
}

// walkFrom ends without an error at the first version that was pruned.
func walkFrom(ctx context.Context, source Getter, head Head, visit func(Manifest, Hash) bool) error {
	version, sum := head.Version, head.ManifestHash
	for sum != "" {
		_, m, err := getManifest(ctx, source, version, sum)
		var missing *objectstore.NotFoundError
		if errors.As(err, &missing) && version < head.Version {
			return nil
		}
		if err != nil {
			return err
		}
		if !visit(m, sum) {
			return nil
		}
		version, sum = version-1, m.PreviousManifest
	}
	return nil
}
