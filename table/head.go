package table

import (
	"fmt"
	"time"
)

// The keys of the table's objects in the store.
const (
	// HeadKey is the key of the [Head].
	HeadKey = "table/head"
	// ManifestKeyPrefix is the prefix of the keys of the [Manifest] objects.
	ManifestKeyPrefix = "table/version/"
	// PartKeyPrefix is the prefix of the keys of the parts, which versions share.
	PartKeyPrefix = "table/part/"
	// KeyPrefix is the prefix of all keys of the table.
	KeyPrefix = "table/"
)

// MaxRecentEdits is the maximum number of edits in [Head.RecentEdits]. An edit that is
// published again is recognized only while it is among them.
const MaxRecentEdits = 128

// EditID identifies an edit. It is the same each time the edit is published again.
type EditID string

// Head refers to the current version. It is the only mutable object of the table,
// and changes only by conditional update.
type Head struct {
	Version Version `json:"version"`
	// ManifestHash is the hash of the version's manifest.
	ManifestHash Hash `json:"manifest"`
	// RecentEdits lists the latest edits, the newest last. The last entry is the edit
	// that created this version.
	RecentEdits []RecentEdit `json:"edits"`
}

// RecentEdit records which version an edit created.
type RecentEdit struct {
	ID      EditID  `json:"edit"`
	Version Version `json:"version"`
	// ContentHash is the first 16 hexadecimal digits of the hash of the concatenated
	// part hashes of the edit's table. It distinguishes an edit that is published again
	// from a different edit with the same ID.
	ContentHash Hash `json:"content"`
}

// Manifest lists the parts of one version. It is immutable.
type Manifest struct {
	Version Version `json:"version"`
	EditID  EditID  `json:"edit"`
	// Base is the version that the edit is based on.
	Base Version `json:"base"`
	// PreviousManifest is the hash of the manifest of the preceding version.
	PreviousManifest Hash      `json:"previous,omitempty"`
	Author           string    `json:"author,omitempty"`
	Note             string    `json:"note,omitempty"`
	PublishedAt      time.Time `json:"published"`
	// PartHashes lists the parts in order: first the part with all rows except the
	// client blocks, then the parts with the client blocks.
	PartHashes []Hash `json:"parts"`
	// BlockCount is the number of client blocks.
	BlockCount int `json:"blocks"`
}

// ManifestKey returns the key of a version's manifest. It contains the hash, so that
// two operators who publish the same version number at once write different keys.
func ManifestKey(version Version, hash Hash) string {
	return fmt.Sprintf("%s%020d/%s", ManifestKeyPrefix, version, hash)
}

// PartKey returns the key of the part with the hash.
func PartKey(hash Hash) string { return PartKeyPrefix + string(hash) }
