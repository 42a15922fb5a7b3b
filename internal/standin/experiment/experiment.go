/*
Package experiment runs a plan of load and faults against a running fleet of
entry hosts, and reports the results of each team's requests. It stands on the
callers' side: it sends all requests through package caller.

The load is open loop: each request is sent when it is due, whether or not
earlier ones have been answered, up to a limit on the requests in flight. The
time, team, caller and path of each request are derived from the plan's seed, so
that two runs of a plan send the same load. A fault is an HTTP request that is
sent at a set time to a stand-in's control endpoint.

# Usage

	plan, err := experiment.ReadPlan("examples/chalkline/experiment.json", os.LookupEnv)
	if err != nil {
		return err
	}
	runner := experiment.Runner{
		Plan: plan,
	}
	report := runner.Run(ctx)
	err = report.WriteTable(os.Stdout)

[Compare] compares two reports.
*/
package experiment
