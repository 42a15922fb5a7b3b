package manual_test

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/command"
	"trefoilline.example/trefoilline/internal/command/manual"
)

var update = flag.Bool("update", false, "write the pages instead of comparing them")

const directory = "../../../docs/man"

// TestPagesAreUpToDate fails if docs/man does not match the help texts of the commands.
func TestPagesAreUpToDate(t *testing.T) {
	pages := manual.Pages(command.NewRootCommand())
	for _, page := range pages {
		file := filepath.Join(directory, page.FileName)
		if *update {
			require.NoError(t, os.WriteFile(file, []byte(page.Content), 0o644))
		}
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Equal(t, page.Content, string(text), "run: go test ./internal/command/manual -args -update")
	}
	files, err := filepath.Glob(filepath.Join(directory, "trefoilline*.md"))
	require.NoError(t, err)
	require.Len(t, files, len(pages))
}

// TestEveryCommandHasAnExample checks that each command without subcommands has an
// example and a description.
func TestEveryCommandHasAnExample(t *testing.T) {
	var visit func(c *cobra.Command)
	visit = func(c *cobra.Command) {
		if !c.HasSubCommands() {
			require.NotEmpty(t, c.Example, c.CommandPath())
			require.NotEmpty(t, c.Long, c.CommandPath())
		}
		for _, child := range c.Commands() {
			visit(child)
		}
	}
	visit(command.NewRootCommand())
}
