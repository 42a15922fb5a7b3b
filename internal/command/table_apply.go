package command

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// newTableApplyCommand returns the command that publishes a file as the next version of
// the table:
//
//	trefoilline table apply FILE [--base N] [--dry-run] [--merge] [--wait]
func newTableApplyCommand() *cobra.Command {
	var o publishOptions
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Publish a file as the next version of the table",
		Long: `Check a file and publish it as the next version of the table. The changes are shown
first if the file was edited from the current version. An invalid file changes
nothing. The file "-" is the standard input.

Unless no version exists yet, the version that the file was edited from must be
given in a row of kind version or by --base. If someone else has published a
version since, the edit is rejected and both sets of changes are shown; --merge
applies the edit to the current version if the two edits change different rows.

It is safe to apply the same file again: an edit that has already been published is
recognized and not applied twice.`,
		Example: `  trefoilline table apply table.csv --dry-run
  trefoilline table apply table.csv --note "drain accra on Sunday" --wait`,
		Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			o.baseSet = c.Flags().Changed("base")
			return o.apply(c, args[0])
		},
	}
	o.addFlags(c)
	c.Flags().Uint64Var(&o.base, "base", 0, "version that the file was edited from; 0 if there was none")
	c.Flags().BoolVar(&o.merge, "merge", false, "merge the edit into a newer version if the two change different rows")
	return c
}

// publishOptions holds the flags of the commands that publish a version.
type publishOptions struct {
	base    uint64
	baseSet bool
	merge   bool
	dryRun  bool
	editID  string
	author  string
	note    string
	wait    waitOptions
}

func (o *publishOptions) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&o.dryRun, "dry-run", false, "show what would change without changing it")
	c.Flags().StringVar(&o.editID, "edit", "", "identifier of the edit; by default a hash of its content and base version")
	c.Flags().StringVar(&o.author, "author", "", "author of the edit")
	c.Flags().StringVar(&o.note, "note", "", "reason for the edit")
	o.wait.addFlags(c)
}

func (o *publishOptions) apply(c *cobra.Command, name string) error {
	edited, err := readTable(c, name)
	if err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	current, err := loadCurrentTable(c.Context(), store)
	if err != nil {
		return err
	}
	base, err := o.resolveBase(edited, current.Version)
	if err != nil {
		return err
	}
	return o.publish(c, store, current, table.Edit{
		Base:  base,
		Table: edited,
	})
}

// loadCurrentTable returns the current table, or an empty table if none has been
// published.
func loadCurrentTable(ctx context.Context, store table.Getter) (table.Table, error) {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	var noTable *table.NoTableError
	if errors.As(err, &noTable) {
		return table.Table{}, nil
	}
	if err != nil {
		return table.Table{}, err
	}
	return snapshot.Table, nil
}

func (o *publishOptions) resolveBase(edited table.Table, current table.Version) (table.Version, error) {
	switch {
	case o.baseSet:
		return table.Version(o.base), nil
	case edited.Version > 0 || current == 0:
		return edited.Version, nil
	}
	return 0, &MissingBaseVersionError{
		CurrentVersion: current,
	}
}

// publish publishes the edit, unless this is a dry run. If the edit is based on the
// current version, it prints the changes first.
func (o *publishOptions) publish(c *cobra.Command, store *objectstore.Client, current table.Table, edit table.Edit) error {
	edit.Author, edit.Note, edit.AutoMerge = o.author, o.note, o.merge
	edit.ID = table.EditID(o.editID)
	if edit.ID == "" {
		id, err := editIDFromContent(edit)
		if err != nil {
			return err
		}
		edit.ID = id
	}
	if edit.Base == current.Version {
		changes := table.Diff(current, edit.Table)
		printChanges(c.OutOrStdout(), fmt.Sprintf("changes to version %d:", current.Version), changes)
		if len(changes) == 0 && current.Version > 0 {
			fmt.Fprintf(c.OutOrStdout(), "version %d stays the current version\n", current.Version)
			return o.waitIfRequested(c, current.Version)
		}
	}
	if o.dryRun {
		return o.previewPublish(c, store, current, edit)
	}
	publisher := table.Publisher{
		Store: store,
	}
	result, err := publisher.Publish(c.Context(), edit)
	if err != nil {
		printConflict(c, err)
		return err
	}
	printPublishResult(c, result)
	return o.waitIfRequested(c, result.Version)
}

// waitIfRequested waits, if --wait is given, until every entry host has applied the
// version.
func (o *publishOptions) waitIfRequested(c *cobra.Command, version table.Version) error {
	if !o.wait.enabled {
		return nil
	}
	return o.wait.waitForHosts(c, fmt.Sprintf("version %d", version), func(s hostStatus) bool {
		return s.TableVersion >= uint64(version)
	})
}

// previewPublish prints what publishing would change, or returns the error that it would
// return, without writing to the store.
func (o *publishOptions) previewPublish(c *cobra.Command, store table.Getter, current table.Table, edit table.Edit) error {
	if edit.Base != current.Version {
		base := table.Table{}
		if edit.Base > 0 {
			snapshot, err := table.LoadEarlierVersion(c.Context(), store, edit.Base)
			if err != nil {
				return err
			}
			base = snapshot.Table
		}
		if !o.merge {
			err := &table.ConflictError{
				Base:    edit.Base,
				Current: current.Version,
				Ours:    table.Diff(base, edit.Table),
				Theirs:  table.Diff(base, current),
			}
			printConflict(c, err)
			return err
		}
		merged, err := table.Merge(base, edit.Table, current)
		if err != nil {
			printConflict(c, err)
			return err
		}
		printChanges(c.OutOrStdout(), fmt.Sprintf("changes to version %d:", current.Version), table.Diff(current, merged))
	}
	fmt.Fprintln(c.OutOrStdout(), "dry run: nothing was changed")
	return nil
}

func printPublishResult(c *cobra.Command, result table.PublishResult) {
	if result.AlreadyPublished {
		fmt.Fprintf(c.OutOrStdout(), "this edit is already published as version %d; the current version is %d\n", result.Version, result.CurrentVersion)
		return
	}
	fmt.Fprintf(c.OutOrStdout(), "published as version %d\n", result.Version)
}

// printConflict prints the changes on both sides of a conflict.
func printConflict(c *cobra.Command, err error) {
	var conflict *table.ConflictError
	var mergeConflict *table.MergeConflictError
	switch {
	case errors.As(err, &conflict):
		printChanges(c.ErrOrStderr(), "changes in this edit:", conflict.Ours)
		printChanges(c.ErrOrStderr(), "changes published in the meantime:", conflict.Theirs)
	case errors.As(err, &mergeConflict):
		printChanges(c.ErrOrStderr(), "changes in this edit:", mergeConflict.Ours)
		printChanges(c.ErrOrStderr(), "changes published in the meantime in the same rows:", mergeConflict.Theirs)
	}
}

// editIDFromContent returns a hash of the base and content of an edit, so that running
// the same command again gives the same edit ID.
func editIDFromContent(edit table.Edit) (table.EditID, error) {
	var text bytes.Buffer
	text.WriteString(strconv.FormatUint(uint64(edit.Base), 10))
	if err := table.WriteCSV(&text, edit.Table); err != nil {
		return "", err
	}
	sum := sha256.Sum256(text.Bytes())
	return table.EditID(hex.EncodeToString(sum[:16])), nil
}
