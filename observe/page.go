package observe

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes the catalogue as the Markdown page docs/EVENTS.md.
func WriteMarkdown(w io.Writer) error {
	var page strings.Builder
	page.WriteString("# Events\n\n")
	page.WriteString("The log of `trefoillined` is made of numbered events, one JSON object a line, or for people with\n")
	page.WriteString("`--log-format console`. A number never changes its meaning. No event holds a key or a part of one.\n")
	page.WriteString("This page is the output of `trefoillined events`.\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&page, "\n## %d %s\n\n", e.Number, e.Name)
		fmt.Fprintf(&page, "- Level: %s\n", e.Level)
		fmt.Fprintf(&page, "- Fields: %s\n", strings.Join(e.Fields, ", "))
		fmt.Fprintf(&page, "- Cause: %s\n", e.Cause)
		fmt.Fprintf(&page, "- Do: %s\n", e.Action)
	}
	_, err := io.WriteString(w, page.String())
	return err
}
