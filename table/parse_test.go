package table_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/table"
)

// smallTable is a valid table with rows of every kind except version.
const smallTable = `kind,name,path,service,access,repeat,weight-accra,weight-kumasi,rate,burst,weight,from,to,shift-cap,start,end,prefix,region
region,accra
region,kumasi
route,stock,/stock,storefront,keyed,idempotent,2,1
route,packs,/packs,storefront,open,idempotent,1,1
route,orders,/orders,packhouse,keyed,once,,1.5
team,harbour-school,,,,,,,40,80,
team,north-chain,,,,,,,400,600,3
link,,,,,,,,200,100,,accra,kumasi,20
drain,,,,,,,,,,,,,,2027-01-31T22:00:00Z,2027-02-01T02:00:00Z,,accra
block,,,,,,,,,,,,,,,,203.0.113.0/24,accra
block,,,,,,,,,,,,,,,,2001:db8::/48,kumasi
`

// smallTableWith returns smallTable with the first occurrence of a text replaced.
func smallTableWith(from, to string) string { return strings.Replace(smallTable, from, to, 1) }

func parseTable(t *testing.T, text string) table.Table {
	t.Helper()
	parsed, err := table.ParseCSV(strings.NewReader(text))
	require.NoError(t, err)
	return parsed
}

func formatTable(t *testing.T, given table.Table) string {
	t.Helper()
	var text bytes.Buffer
	require.NoError(t, table.WriteCSV(&text, given))
	return text.String()
}

// TestParseAcceptsSpreadsheetFormats parses one table in the formats that spreadsheets
// write, and expects the same table each time.
func TestParseAcceptsSpreadsheetFormats(t *testing.T) {
	want := parseTable(t, smallTable)
	require.Equal(t, 1.0, want.Teams[0].Weight)
	lines := strings.Split(strings.TrimSpace(smallTable), "\n")
	reversed := []string{lines[0]}
	for i := len(lines) - 1; i > 0; i-- {
		reversed = append(reversed, lines[i])
	}
	quoted := `"` + strings.ReplaceAll(strings.ReplaceAll(strings.TrimSpace(smallTable), ",", `","`), "\n", "\"\n\"") + `"`
	formats := map[string]string{
		"byte order mark and CRLF": "\ufeff" + strings.ReplaceAll(smallTable, "\n", "\r\n"),
		"blank lines":              "\n,,,\n" + strings.ReplaceAll(smallTable, "\n", "\n\n , ,\n"),
		"quoted cells":             quoted,
		"semicolons":               strings.ReplaceAll(strings.ReplaceAll(smallTable, ",", ";"), "1.5", "1,5"),
		"tabs":                     strings.ReplaceAll(smallTable, ",", "\t"),
		"rows in reverse order":    strings.Join(reversed, "\n"),
		"capitals and spaces":      strings.Replace(strings.Replace(smallTable, "kind,name", " Kind , NAME", 1), "team,harbour-school", "Team , harbour-school ", 1),
		"times without a T or Z":   strings.ReplaceAll(smallTable, "T22:00:00Z", " 22:00"),
		"written by WriteCSV":      formatTable(t, want),
	}
	for name, text := range formats {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, table.Diff(want, parseTable(t, text)))
		})
	}
}

// TestParseReportsAllProblems checks that one call reports every problem of a file. Each
// expected text is the line, the column and the value of a problem. The line is written
// as a letter: b is line 1, c is line 2, and so on.
func TestParseReportsAllProblems(t *testing.T) {
	_, err := table.ParseCSV(strings.NewReader(`kind,name,path,service,access,repeat,weight-accra,weight-lima,rate,burst,from,to,shift-cap,start,end,prefix,region,colour
region,accra
region,accra

route,stock,stock,storefront,locked,never,1,1
team,Big,,,,,,,many,0.5
team,poor,,,,,,,,5,accra
link,,,,,,,,1,1,accra,accra,-1
drain,,,,,,,,,,,,,2027-02-01T02:00:00Z,2027-01-31T22:00:00Z,,accra
block,,,,,,,,,,,,,,,10.0.0.1/8,accra
block,,,,,,,,,,,,,,,everyone,quito
colony,x
`))
	var invalid *table.InvalidError
	require.ErrorAs(t, err, &invalid)
	var positions []string
	for _, p := range invalid.Problems {
		require.NotEmpty(t, p.Accepted)
		positions = append(positions, strings.Join([]string{string(rune('a' + p.Line)), p.Column, p.Value}, " "))
	}
	require.Equal(t, []string{
		"b header colour",
		"d name accra",
		"f path stock", "f access locked", "f repeat never", "f weight-lima lima",
		"g rate many", "g name Big", "g burst 0.5",
		"h from accra", "h rate ",
		"i to accra", "i shift-cap -1",
		"j end 2027-01-31T22:00:00Z",
		"k prefix 10.0.0.1/8",
		"l prefix everyone", "l region quito",
		"m kind colony",
	}, positions)
	require.Contains(t, err.Error(), `row 6, team Big, column burst: "0.5"; accepted: a number from 1 to`)
}

// TestParseRejectsInvalidFiles checks that invalid files are rejected with an error that
// states what is accepted.
func TestParseRejectsInvalidFiles(t *testing.T) {
	invalidFiles := map[string]string{
		"empty file":           "",
		"no kind column":       "name,path\nx,/\n",
		"unclosed quote":       "kind,name\nregion,\"accra\n",
		"UTF-16":               "\xff\xfek\x00i\x00n\x00d\x00",
		"thousands separator":  "kind;name;rate;burst\nteam;a;1.000;10\n",
		"route without region": strings.Replace(smallTable, "route,packs,/packs,storefront,open,idempotent,1,1", "route,packs,/packs,storefront,open,idempotent,1,", 1),
		"cell without column":  "kind,name\nregion,accra,x\n",
		"rate not finite":      "kind,name,rate,burst\nteam,a,inf,1\nteam,b,nan,1\n",
		"two version rows":     "kind,name\nversion,1\nversion,2\n",
	}
	for name, text := range invalidFiles {
		t.Run(name, func(t *testing.T) {
			_, err := table.ParseCSV(strings.NewReader(text))
			require.Error(t, err)
			require.Regexp(t, "accepted: ", err.Error())
		})
	}
}
