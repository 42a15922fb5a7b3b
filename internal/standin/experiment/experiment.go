/*
Package experiment runs a plan of load and faults against a fleet that is up,
and reports how its teams fared.

The load is open loop: requests leave when they are due, whatever became of
those before, up to a bound on the requests under way. When each request
leaves, for which team, from which caller and to which path all come from the
plan's seed, so that two runs of a plan send the same load. Faults are requests
to the controls of the stand-ins, each at its time.

# Usage

	plan, err := experiment.ReadPlan("examples/chalkline/experiment.json", os.LookupEnv)
	if err != nil {
		return err
	}
	run := experiment.Run{
		Plan: plan,
	}
	report := run.Do(ctx)
	err = report.WriteTable(os.Stdout)

Two reports are set side by side with [Compare].
*/
package experiment
