/*
Package manual generates the manual pages of the command-line tool, one Markdown
page for each command. It is not on the path of a request.

# Usage

	for _, page := range manual.Pages(command.NewRootCommand()) {
		os.WriteFile(filepath.Join("docs/man", page.FileName), []byte(page.Content), 0o644)
	}

To update the pages in docs/man, run

	go test ./internal/command/manual -args -update
*/
package manual

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Page is the manual page of one command.
type Page struct {
	// FileName is the name of the file, without a directory.
	FileName string
	Content  string
}

// Pages returns the pages of the root command and all its subcommands, except hidden
// and deprecated commands and the help command.
func Pages(root *cobra.Command) []Page {
	// Only the root has a completion command. This call is not in appendPages, which
	// would add one to every subcommand.
	root.InitDefaultCompletionCmd()
	return appendPages(nil, root)
}

func appendPages(pages []Page, c *cobra.Command) []Page {
	c.InitDefaultHelpFlag()
	pages = append(pages, newPage(c))
	for _, child := range c.Commands() {
		if child.IsAvailableCommand() {
			pages = appendPages(pages, child)
		}
	}
	return pages
}

func fileName(c *cobra.Command) string {
	return strings.ReplaceAll(c.CommandPath(), " ", "-") + ".md"
}

func newPage(c *cobra.Command) Page {
	var text strings.Builder
	fmt.Fprintf(&text, "# %s\n\n%s.\n", c.CommandPath(), strings.TrimSuffix(c.Short, "."))
	if c.Runnable() && !c.HasAvailableSubCommands() {
		writeSection(&text, "Usage", c.UseLine())
	}
	if c.Long != "" {
		writeSection(&text, "Description", c.Long)
	}
	if c.Example != "" {
		writeSection(&text, "Example", c.Example)
	}
	writeFlags(&text, "Flags", c.NonInheritedFlags())
	writeFlags(&text, "Global flags", c.InheritedFlags())
	writeSeeAlso(&text, c)
	return Page{
		FileName: fileName(c),
		Content:  text.String(),
	}
}

// writeSection writes a section with its body in a code block, because the help texts
// are formatted for terminals.
func writeSection(text *strings.Builder, title, body string) {
	fmt.Fprintf(text, "\n## %s\n\n```text\n%s\n```\n", title, strings.Trim(body, "\n"))
}

func writeFlags(text *strings.Builder, title string, flagSet *pflag.FlagSet) {
	if flagSet.HasAvailableFlags() {
		writeSection(text, title, strings.TrimRight(flagSet.FlagUsages(), "\n"))
	}
}

func writeSeeAlso(text *strings.Builder, c *cobra.Command) {
	var lines []string
	if c.HasParent() {
		lines = append(lines, seeAlsoLine(c.Parent()))
	}
	for _, child := range c.Commands() {
		if child.IsAvailableCommand() {
			lines = append(lines, seeAlsoLine(child))
		}
	}
	if len(lines) > 0 {
		fmt.Fprintf(text, "\n## See also\n\n%s", strings.Join(lines, ""))
	}
}

func seeAlsoLine(c *cobra.Command) string {
	return fmt.Sprintf("- [%s](%s): %s\n", c.CommandPath(), fileName(c), c.Short)
}
