package table

import (
	"fmt"
	"time"
)

// The keys of the store.
const (
	// HeadKey holds the [Head].
	HeadKey = "table/head"
	// VersionPrefix starts the keys of the versions' [Manifest] objects.
	ManifestKeyPrefix = "table/version/"
	// PartPrefix starts the keys of the parts, which versions share.
	PartKeyPrefix = "table/part/"
	// Prefix starts every key of the table.
	KeyPrefix = "table/"
)

// MaxRecentEdits is how many edits the head remembers, so that an edit sent
// again is found to hold.
const MaxRecentEdits = 128

// EditID identifies an edit, however often it is sent.
type EditID string

// Head names the version in force. It is the only object of the table that
// changes, and only by conditional update.
type Head struct {
	Version Version `json:"version"`
	// ManifestHash is the sum of the version's manifest.
	ManifestHash Hash `json:"manifest"`
	// RecentEdits are the latest edits, the newest last; its last entry is the edit
	// that made this version.
	RecentEdits []RecentEdit `json:"edits"`
}

// RecentEdit says which version an edit made.
type RecentEdit struct {
	ID      EditID  `json:"edit"`
	Version Version `json:"version"`
	// ContentHash is the start of the sum over the edit's parts; it tells an edit sent
	// again from another one under the same identifier.
	ContentHash Hash `json:"content"`
}

// ManifestHash lists the parts of one version. It is immutable.
type Manifest struct {
	Version Version `json:"version"`
	EditID  EditID  `json:"edit"`
	// Base is the version that the edit started from.
	Base Version `json:"base"`
	// PreviousManifest is the sum of the manifest of the version before.
	PreviousManifest Hash      `json:"previous,omitempty"`
	Author           string    `json:"author,omitempty"`
	Note             string    `json:"note,omitempty"`
	PublishedAt      time.Time `json:"published"`
	// PartHashes are in order: the rows that are no blocks, then the blocks.
	PartHashes []Hash `json:"parts"`
	// BlockCount is the number of client blocks.
	BlockCount int `json:"blocks"`
}

// ManifestKey is the key of a version's manifest. The sum in it keeps apart
// two operators who write the same version number at once.
func ManifestKey(version Version, sum Hash) string {
	return fmt.Sprintf("%s%020d/%s", ManifestKeyPrefix, version, sum)
}

// PartKey is the key of a part.
func PartKey(sum Hash) string { return PartKeyPrefix + string(sum) }
