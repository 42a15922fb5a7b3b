package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// options are the flags of the caller.
type options struct {
	entries []string
	key     string
	request Request
	body    string
	count   int
	rate    float64
	timeout time.Duration
	output  string
	record  string
	team    string
}

// NewCommand returns the command
//
//	trefoilline-standin caller --entry ADDRESS... [--key KEY] --path PATH [--count N] [--rate R]
//
// which sends requests through look-ups and prints what came of them.
func NewCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use:     "caller",
		Short:   "Send requests as a caller does and print what came of them",
		Example: "  trefoilline-standin caller --entry 127.0.0.1:8101 --key tf1_... --path /stock --count 20 --rate 10",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return o.run(command.Context(), command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.entries, "entry", nil, "addresses of entry hosts to ask first")
	flags.StringVar(&o.key, "key", "", "the team's key; none for open routes")
	flags.StringVar(&o.request.Method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&o.request.Path, "path", "/", "path and query")
	flags.StringVar(&o.body, "body", "", "body of the request")
	flags.BoolVar(&o.request.UseTicket, "ticket", false, "ask for a ticket, so that a request may be sent again safely")
	flags.IntVar(&o.count, "count", 1, "number of requests")
	flags.Float64Var(&o.rate, "rate", 10, "requests per second")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "limit on each request")
	flags.StringVar(&o.record, "record", "", "file to write the requests to, as a trace")
	flags.StringVar(&o.team, "record-team", "", "the team's name in the trace")
	flags.StringVar(&o.output, "output", "text", "text or json")
	return command
}

func (o *options) run(ctx context.Context, w io.Writer) error {
	entries, err := parseEntries(o.entries)
	if err != nil {
		return err
	}
	if o.rate <= 0 {
		return &FlagError{
			Name:     "rate",
			Value:    fmt.Sprint(o.rate),
			Accepted: "a number above zero",
		}
	}
	o.request.Body = []byte(o.body)
	load := LoadGenerator{
		Caller: &Caller{
			EntryHosts: entries,
			Key:        o.key,
		},
		Request: o.request,
		Count:   o.count,
		Rate:    o.rate,
		Timeout: o.timeout,
	}
	if o.record != "" {
		file, err := os.Create(o.record)
		if err != nil {
			return err
		}
		defer file.Close()
		load.Recorder = &TraceRecorder{
			Output: file,
			Team:   o.team,
		}
	}
	summary := load.Run(ctx)
	if o.output == "json" {
		return json.NewEncoder(w).Encode(summary)
	}
	summary.Write(w)
	return nil
}

func parseEntries(texts []string) ([]netip.AddrPort, error) {
	entries := make([]netip.AddrPort, 0, len(texts))
	for _, t := range texts {
		address, err := netip.ParseAddrPort(strings.TrimSpace(t))
		if err != nil {
			return nil, &FlagError{
				Name:     "entry",
				Value:    t,
				Accepted: "an IP address and port",
			}
		}
		entries = append(entries, address)
	}
	if len(entries) == 0 {
		return nil, &FlagError{
			Name:     "entry",
			Value:    "",
			Accepted: "at least one IP address and port",
		}
	}
	return entries, nil
}

// FlagError reports a flag that is not acceptable.
type FlagError struct {
	Name     string
	Value    string
	Accepted string
}

func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s is %q; accepted: %s", e.Name, e.Value, e.Accepted)
}
