package header

import (
	"fmt"
	"net/http"
	"strings"
)

// namePunctuation has the characters besides ASCII letters and digits that HTTP allows in the name of a field.
const namePunctuation = "!#$%&'*+-.^_`|~"

// InvalidNameError reports a response with a field whose name HTTP does not allow. Nothing else in it can be trusted: if the line is
// ignored, as "Content-Length : 5" would be, other bytes may be taken for the body.
type InvalidNameError struct {
	Name string
}

func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("the protocol allows no field name %q", e.Name)
}

// CheckNames returns an [InvalidNameError] if a head or a trailer has a field name that HTTP does not allow. Package net/http takes names
// with blanks, also before the colon.
func CheckNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isInvalidInName) {
			return &InvalidNameError{
				Name: name,
			}
		}
	}
	return nil
}

func isInvalidInName(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune(namePunctuation, r)
}
