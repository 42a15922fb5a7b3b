package host

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"trefoilline.example/trefoilline/objectstore"
)

// encodedCopies keeps, by prefix, the last changes that were sent to another host in their encoded form. The hosts of a region that watch
// this one get the same changes at the same time, so that they are encoded once and not once for each. The zero value is ready for use.
type encodedCopies struct {
	mu   sync.Mutex
	last map[string]encodedCopy
}

// encodedCopy is a response to a request for a copy.
type encodedCopy struct {
	changes objectstore.VersionedObjects
	body    []byte
	// isCompressed is true if the body is compressed.
	isCompressed bool
}

// encode returns the encoded form of what is known of a prefix.
func (e *encodedCopies) encode(prefix string, changes objectstore.VersionedObjects) (encodedCopy, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if last, isKnown := e.last[prefix]; isKnown && isSameCopy(last.changes, changes) {
		return last, nil
	}
	body, err := json.Marshal(changes)
	if err != nil {
		return encodedCopy{}, err
	}
	encoded := encodedCopy{
		changes: changes,
	}
	encoded.body, encoded.isCompressed = compress(append(body, '\n'))
	if e.last == nil {
		e.last = make(map[string]encodedCopy)
	}
	e.last[prefix] = encoded
	return encoded, nil
}

// isSameCopy reports whether two copies of one prefix hold the same versions of the same objects.
func isSameCopy(a, b objectstore.VersionedObjects) bool {
	return a.Next == b.Next && slices.EqualFunc(a.Objects, b.Objects, func(x, y objectstore.Object) bool {
		isSameState := x.Version == y.Version && x.Deleted == y.Deleted && x.MayBeAlive == y.MayBeAlive
		return isSameState && x.Key == y.Key && bytes.Equal(x.Value, y.Value) && bytes.Equal(x.Status, y.Status)
	})
}

// write responds with what is known of a prefix, compressed if the other host accepts that.
func (e *encodedCopies) write(w http.ResponseWriter, r *http.Request, prefix string, changes objectstore.VersionedObjects) error {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding) {
		return writeJSON(w, r, changes)
	}
	encoded, err := e.encode(prefix, changes)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	if encoded.isCompressed {
		w.Header().Set("Content-Encoding", gzipEncoding)
	}
	_, err = w.Write(encoded.body)
	return err
}
