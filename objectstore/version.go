package objectstore

// Version numbers the writes of the store. It grows with each write to any key, so the versions
// of one key grow too. Zero means "no version".
//
// A store that comes back from an older copy of its objects gives its revisions out again. Each
// such return begins a new era, and all versions of an era are higher than those of the eras
// before. See [NewVersion].
type Version uint64

// revisionBits is how many of the lowest bits of a version are the store's revision. The others
// are the era. With it, versions of 512 eras are exact as a JSON number.
const revisionBits = 44

// NewVersion returns the version of a revision in an era. Eras count from one. In the first
// one, or if the store has no eras and era is zero, the version is the revision.
func NewVersion(era, revision uint64) Version {
	return Version((max(era, 1)-1)<<revisionBits | revision&(1<<revisionBits-1))
}

// Era returns the era of the version, from one.
func (v Version) Era() uint64 { return uint64(v)>>revisionBits + 1 }

// Revision returns the store's revision.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }
