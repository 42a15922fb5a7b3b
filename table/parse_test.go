package table_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/table"
)

const small = `kind,name,path,service,access,repeat,weight-accra,weight-kumasi,rate,burst,weight,from,to,shift-cap,start,end,prefix,region
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

// replaced returns the small table with one piece of text replaced.
func replaced(from, to string) string { return strings.Replace(small, from, to, 1) }

func parse(t *testing.T, text string) table.Table {
	t.Helper()
	parsed, err := table.ParseCSV(strings.NewReader(text))
	require.NoError(t, err)
	return parsed
}

func write(t *testing.T, given table.Table) string {
	t.Helper()
	var text bytes.Buffer
	require.NoError(t, table.WriteCSV(&text, given))
	return text.String()
}

// TestSpreadsheets reads one table in the forms that spreadsheets give it.
func TestSpreadsheets(t *testing.T) {
	want := parse(t, small)
	require.Equal(t, 1.0, want.Teams[0].Weight)
	lines := strings.Split(strings.TrimSpace(small), "\n")
	backwards := []string{lines[0]}
	for i := len(lines) - 1; i > 0; i-- {
		backwards = append(backwards, lines[i])
	}
	quoted := `"` + strings.ReplaceAll(strings.ReplaceAll(strings.TrimSpace(small), ",", `","`), "\n", "\"\n\"") + `"`
	forms := map[string]string{
		"byte-order mark and CRLF": "\ufeff" + strings.ReplaceAll(small, "\n", "\r\n"),
		"blank lines":              "\n,,,\n" + strings.ReplaceAll(small, "\n", "\n\n , ,\n"),
		"quotes":                   quoted,
		"semicolons":               strings.ReplaceAll(strings.ReplaceAll(small, ",", ";"), "1.5", "1,5"),
		"tabs":                     strings.ReplaceAll(small, ",", "\t"),
		"rows backwards":           strings.Join(backwards, "\n"),
		"capitals and spaces":      strings.Replace(strings.Replace(small, "kind,name", " Kind , NAME", 1), "team,harbour-school", "Team , harbour-school ", 1),
		"times with a space":       strings.ReplaceAll(small, "T22:00:00Z", " 22:00"),
		"written again":            write(t, want),
	}
	for name, text := range forms {
		t.Run(name, func(t *testing.T) {
			require.Empty(t, table.Diff(want, parse(t, text)))
		})
	}
}

func TestFaultsComeAllAtOnce(t *testing.T) {
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
	var places []string
	for _, f := range invalid.Problems {
		require.NotEmpty(t, f.Accepted)
		places = append(places, strings.Join([]string{string(rune('a' + f.Row)), f.Column, f.Value}, " "))
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
	}, places)
	require.Contains(t, err.Error(), `row 6, team Big, column burst: "0.5"; accepted: a number from 1 to`)
}

func TestRefusedFiles(t *testing.T) {
	refused := map[string]string{
		"nothing":              "",
		"no column of kinds":   "name,path\nx,/\n",
		"open quote":           "kind,name\nregion,\"accra\n",
		"UTF-16":               "\xff\xfek\x00i\x00n\x00d\x00",
		"grouped thousands":    "kind;name;rate;burst\nteam;a;1.000;10\n",
		"stranded route":       strings.Replace(small, "route,packs,/packs,storefront,open,idempotent,1,1", "route,packs,/packs,storefront,open,idempotent,1,", 1),
		"no column for a cell": "kind,name\nregion,accra,x\n",
		"not a finite rate":    "kind,name,rate,burst\nteam,a,inf,1\nteam,b,nan,1\n",
		"two versions":         "kind,name\nversion,1\nversion,2\n",
	}
	for name, text := range refused {
		t.Run(name, func(t *testing.T) {
			_, err := table.ParseCSV(strings.NewReader(text))
			require.Error(t, err)
			require.Regexp(t, "accepted: ", err.Error())
		})
	}
}
