package experiment

import "github.com/spf13/cobra"

// NewCompareCommand returns the command
//
//	trefoilline-standin compare A.json B.json [--output table|json]
//
// which prints two runs side by side. It returns a [FieldError], [FileError] or
// [OutputError].
func NewCompareCommand() *cobra.Command {
	var o output
	command := &cobra.Command{
		Use:     "compare A.json B.json",
		Short:   "Print the reports of two experiments side by side",
		Example: "  trefoilline-standin compare a.json b.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			if err := o.check(); err != nil {
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
			return o.write(command.OutOrStdout(), Compare(a, b))
		},
	}
	o.addFlag(command)
	return command
}
