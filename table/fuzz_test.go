package table_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/table"
)

// FuzzParseCSV wants every accepted file to pass the checks and to come back the
// same when written and read again.
func FuzzParseCSV(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("\ufeff" + strings.ReplaceAll(strings.ReplaceAll(small, ",", ";"), "\n", "\r\n")))
	f.Add([]byte("kind;name;rate;burst\nteam;a;0,5;1\nversion;7\n"))
	f.Add([]byte("kind,prefix,region,name\nregion,,,x\nblock,::ffff:1.2.3.0/120,x\nblock,0.0.0.0/0,x\n"))
	f.Add([]byte("kind,name,weight-a\n\"region\",\"a\"\nroute,\"\"\"\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := table.ParseCSV(bytes.NewReader(text))
		if err != nil {
			require.Equal(t, table.Table{}, parsed)
			return
		}
		require.NoError(t, table.Validate(parsed))
		var written bytes.Buffer
		require.NoError(t, table.WriteCSV(&written, parsed))
		again, err := table.ParseCSV(&written)
		require.NoError(t, err)
		require.Empty(t, table.Diff(parsed, again))
		require.Equal(t, parsed.Version, again.Version)
	})
}
