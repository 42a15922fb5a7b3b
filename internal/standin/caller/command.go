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

// options holds the values of the command-line flags.
type options struct {
	entryHosts []string
	key        string
	request    Request
	body       string
	count      int
	rate       float64
	timeout    time.Duration
	output     string
	traceFile  string
	traceTeam  string
}

// NewCommand returns the command
//
//	trefoilline-standin caller --entry ADDRESS... [--key KEY] --path PATH [--count N] [--rate R]
//
// which looks up entry hosts, sends requests to them and prints a [Summary] of
// the results.
func NewCommand() *cobra.Command {
	var o options
	command := &cobra.Command{
		Use:     "caller",
		Short:   "Send requests as a caller does and print a summary of the results",
		Example: "  trefoilline-standin caller --entry 127.0.0.1:8101 --key tf1_... --path /stock --count 20 --rate 10",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return o.run(command.Context(), command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&o.entryHosts, "entry", nil, "addresses of the entry hosts that the first look-up asks")
	flags.StringVar(&o.key, "key", "", "API key of the team; empty for public routes")
	flags.StringVar(&o.request.Method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&o.request.Path, "path", "/", "path and query")
	flags.StringVar(&o.body, "body", "", "body of the request")
	flags.BoolVar(&o.request.UseTicket, "ticket", false, "use a ticket, so that a request can be sent again without running twice")
	flags.IntVar(&o.count, "count", 1, "number of requests")
	flags.Float64Var(&o.rate, "rate", 10, "requests per second")
	flags.DurationVar(&o.timeout, "timeout", 10*time.Second, "timeout of each request")
	flags.StringVar(&o.traceFile, "record", "", "file to write a trace of the requests to")
	flags.StringVar(&o.traceTeam, "record-team", "", "name of the team in the trace")
	flags.StringVar(&o.output, "output", "text", "output format: text or json")
	return command
}

func (o *options) run(ctx context.Context, w io.Writer) error {
	entryHosts, err := parseEntryHosts(o.entryHosts)
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
	generator := LoadGenerator{
		Caller: &Caller{
			EntryHosts: entryHosts,
			Key:        o.key,
		},
		Request: o.request,
		Count:   o.count,
		Rate:    o.rate,
		Timeout: o.timeout,
	}
	if o.traceFile != "" {
		file, err := os.Create(o.traceFile)
		if err != nil {
			return err
		}
		defer file.Close()
		generator.Recorder = &TraceRecorder{
			Output: file,
			Team:   o.traceTeam,
		}
	}
	summary := generator.Run(ctx)
	if o.output == "json" {
		return json.NewEncoder(w).Encode(summary)
	}
	summary.Write(w)
	return nil
}

func parseEntryHosts(texts []string) ([]netip.AddrPort, error) {
	entryHosts := make([]netip.AddrPort, 0, len(texts))
	for _, t := range texts {
		address, err := netip.ParseAddrPort(strings.TrimSpace(t))
		if err != nil {
			return nil, &FlagError{
				Name:     "entry",
				Value:    t,
				Accepted: "an IP address and port",
			}
		}
		entryHosts = append(entryHosts, address)
	}
	if len(entryHosts) == 0 {
		return nil, &FlagError{
			Name:     "entry",
			Value:    "",
			Accepted: "at least one IP address and port",
		}
	}
	return entryHosts, nil
}

// FlagError reports an invalid value of a flag.
type FlagError struct {
	Name     string
	Value    string
	Accepted string
}

func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s is %q; accepted: %s", e.Name, e.Value, e.Accepted)
}
