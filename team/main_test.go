package team_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that every run makes the same checks,
// unless a flag sets another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" {
		if err := seed.Set("20270131"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
