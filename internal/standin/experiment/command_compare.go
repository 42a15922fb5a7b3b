package experiment

import "github.com/spf13/cobra"

// NewCompareCommand returns the command
//
//	trefoilline-standin compare A.json B.json [--output table|json]
//
// which prints the reports of two runs side by side. It returns a [FieldError],
// [FileError] or [OutputError].
func NewCompareCommand() *cobra.Command {
	var o outputFlag
	command := &cobra.Command{
		Use:     "compare A.json B.json",
		Short:   "Print the reports of two experiments side by side",
		Example: "  trefoilline-standin compare a.json b.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			a, err := ReadReport(args[0])
			if err != nil {
				return err
			}
			b, err := ReadReport(args[1])
			if err != nil {
				return err
			}
			comparison := Compare(a, b)
			comparison.A = args[0]
			comparison.B = args[1]
			return o.write(command.OutOrStdout(), comparison)
		},
	}
	o.addFlag(command)
	return command
}
