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

// TestPageIsUpToDate holds docs/EVENTS.md and the catalogue together.
func TestPageIsUpToDate(t *testing.T) {
	var page strings.Builder
	require.NoError(t, observe.WriteMarkdown(&page))
	written, err := os.ReadFile("../docs/EVENTS.md")
	require.NoError(t, err)
	require.Equal(t, page.String(), string(written), "run: go run ./cmd/trefoillined events > docs/EVENTS.md")
}

// declaredEvents counts the events that a file of the package declares.
func declaredEvents(t *testing.T, name string) int {
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

// TestCatalogueHoldsEveryEvent finds the declared events in all sources of the package.
func TestCatalogueHoldsEveryEvent(t *testing.T) {
	names, err := filepath.Glob("*.go")
	require.NoError(t, err)
	declared := 0
	for _, name := range names {
		declared += declaredEvents(t, name)
	}
	require.Len(t, observe.Catalogue(), declared)
	last := 0
	for _, e := range observe.Catalogue() {
		require.Greater(t, e.Number, last, e.Name)
		require.NotEmpty(t, e.Cause, e.Name)
		require.NotEmpty(t, e.Action, e.Name)
		last = e.Number
	}
}

func TestEventCarriesItsNumber(t *testing.T) {
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

// TestTeamsAreBounded measures more teams than have measures of their own.
func TestTeamsAreBounded(t *testing.T) {
	measures := observe.Metrics{}
	for n := range 2 * observe.MaxTeamLabels {
		measures.RecordLatency(strings.Repeat("x", n+1), time.Millisecond)
	}
	require.Len(t, measures.TeamLabels(), observe.MaxTeamLabels)
	require.Equal(t, uint64(observe.MaxTeamLabels), measures.AnsweredCount(observe.OtherLabel))
}
