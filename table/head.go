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
	VersionPrefix = "table/version/"
	// PartPrefix starts the keys of the parts, which versions share.
	PartPrefix = "table/part/"
	// Prefix starts every key of the table.
	Prefix = "table/"
)

// RememberedEdits is how many edits the head remembers, so that an edit sent
// again is found to hold.
const RememberedEdits = 128

// EditID identifies an edit, however often it is sent.
type EditID string

// Head names the version in force. It is the only object of the table that
// changes, and only by conditional update.
type Head struct {
	Version Version `json:"version"`
	// Manifest is the sum of the version's manifest.
	Manifest Sum `json:"manifest"`
	// Edits are the latest edits, the newest last; its last entry is the edit
	// that made this version.
	Edits []RememberedEdit `json:"edits"`
}

// RememberedEdit says which version an edit made.
type RememberedEdit struct {
	Edit    EditID  `json:"edit"`
	Version Version `json:"version"`
	// Content is the start of the sum over the edit's parts; it tells an edit sent
	// again from another one under the same identifier.
	Content Sum `json:"content"`
}

// Manifest lists the parts of one version. It is immutable.
type Manifest struct {
	Version Version `json:"version"`
	Edit    EditID  `json:"edit"`
	// Base is the version that the edit started from.
	Base Version `json:"base"`
	// Previous is the sum of the manifest of the version before.
	Previous  Sum       `json:"previous,omitempty"`
	Author    string    `json:"author,omitempty"`
	Note      string    `json:"note,omitempty"`
	Published time.Time `json:"published"`
	// Parts are in order: the rows that are no blocks, then the blocks.
	Parts []Sum `json:"parts"`
	// Blocks is the number of client blocks.
	Blocks int `json:"blocks"`
}

// ManifestKey is the key of a version's manifest. The sum in it keeps apart
// two operators who write the same version number at once.
func ManifestKey(version Version, sum Sum) string {
	return fmt.Sprintf("%s%020d/%s", VersionPrefix, version, sum)
}

// PartKey is the key of a part.
func PartKey(sum Sum) string { return PartPrefix + string(sum) }
