package observe_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"trefoilline.example/trefoilline/observe"
)

// TestEventsPageIsUpToDate compares docs/EVENTS.md with the catalogue.
func TestEventsPageIsUpToDate(t *testing.T) {
	var page strings.Builder
	require.NoError(t, observe.WriteMarkdown(&page))
	written, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, page.String(), string(written), "run: go run ./cmd/trefoillined events > docs/EVENTS.md")
}

// countDeclaredEvents returns how many events a file of the package declares.
func countDeclaredEvents(t *testing.T, name string) int {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	require.NoError(t, err)
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		literal, isLiteral := n.(*ast.CompositeLit)
		if !isLiteral {
			return true
		}
		name, isName := literal.Type.(*ast.Ident)
		if isName && name.Name == "Event" {
			declared++
		}
		return true
	})
	return declared
}

// TestCatalogueContainsEveryEvent compares the catalogue with the events that the files
// of the package declare.
func TestCatalogueContainsEveryEvent(t *testing.T) {
	names, err := filepath.Glob("*.go")
	require.NoError(t, err)
	declared := 0
	for _, name := range names {
		declared += countDeclaredEvents(t, name)
	}
	require.Len(t, observe.Catalogue(), declared)
	previous := 0
	for _, e := range observe.Catalogue() {
		require.Greater(t, e.Number, previous, e.Name)
		require.NotEmpty(t, e.Cause, e.Name)
		require.NotEmpty(t, e.Action, e.Name)
		previous = e.Number
	}
}

func TestLogWritesEventNumber(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	log := observe.Log{
		Logger: zap.New(core),
	}
	log.Write(observe.TableApplied, zap.Uint64("version", 7))
	require.Equal(t, 1, logs.Len())
	entry := logs.All()[0]
	require.Equal(t, "table-in-force", entry.Message)
	require.Equal(t, int64(observe.TableApplied.Number), entry.ContextMap()["event"])
	observe.Log{}.Write(observe.Started)
}

// TestTeamLabelsAreLimited records latencies of more teams than have metrics of their own.
func TestTeamLabelsAreLimited(t *testing.T) {
	metrics := observe.Metrics{}
	for n := range 2 * observe.MaxTeamLabels {
		metrics.RecordLatency(strings.Repeat("x", n+1), time.Millisecond)
	}
	require.Len(t, metrics.TeamLabels(), observe.MaxTeamLabels)
	require.Equal(t, uint64(observe.MaxTeamLabels), metrics.CompletedCount(observe.OtherLabel))
}
