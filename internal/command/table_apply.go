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

// trefoilline table apply FILE [--base N] [--dry-run] [--merge] [--wait]
//
// Publishes a file as the next version of the table, after showing what it
// changes.
func newTableApply() *cobra.Command {
	var a applying
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Publish a file as the next version of the table",
		Long: `Check a file, show what it changes, and publish it as the next version of the
table. A file with faults changes nothing. "-" reads the standard input.

The file says which version it was edited from, in a row of kind version or by
--base. If others have published since, the edit is refused and both changes are
shown; --merge applies it to the newer table if no row was changed by both.

Sending the same file again is safe: an edit that has already been published is
found and not applied twice.`,
		Example: `  trefoilline table apply table.csv --dry-run
  trefoilline table apply table.csv --note "drain accra on Sunday" --wait`,
		Args: arguments(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			a.baseGiven = c.Flags().Changed("base")
			return a.run(c, given[0])
		},
	}
	a.add(c)
	c.Flags().Uint64Var(&a.base, "base", 0, "version that the file was edited from; 0 if there was none")
	c.Flags().BoolVar(&a.merge, "merge", false, "apply the edit over a newer version, if no row was changed by both")
	return c
}

// applying is the flags of a command that publishes a version.
type applying struct {
	base      uint64
	baseGiven bool
	merge     bool
	dryRun    bool
	edit      string
	author    string
	note      string
	wait      waiting
}

func (a *applying) add(c *cobra.Command) {
	c.Flags().BoolVar(&a.dryRun, "dry-run", false, "show what would change and change nothing")
	c.Flags().StringVar(&a.edit, "edit", "", "identifier of the edit; made from its content and base if not given")
	c.Flags().StringVar(&a.author, "author", "", "who makes the edit")
	c.Flags().StringVar(&a.note, "note", "", "why the edit is made")
	a.wait.add(c)
}

func (a *applying) run(c *cobra.Command, name string) error {
	edited, err := readTable(c, name)
	if err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	inForce, err := tableInForce(c.Context(), store)
	if err != nil {
		return err
	}
	base, err := a.baseOf(edited, inForce.Version)
	if err != nil {
		return err
	}
	return a.publish(c, store, inForce, table.Edit{
		Base:  base,
		Table: edited,
	})
}

// tableInForce returns an empty table if none has been published.
func tableInForce(ctx context.Context, store table.Getter) (table.Table, error) {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	var none *table.NoTableError
	if errors.As(err, &none) {
		return table.Table{}, nil
	}
	if err != nil {
		return table.Table{}, err
	}
	return snapshot.Table, nil
}

func (a *applying) baseOf(edited table.Table, newest table.Version) (table.Version, error) {
	switch {
	case a.baseGiven:
		return table.Version(a.base), nil
	case edited.Version > 0 || newest == 0:
		return edited.Version, nil
	}
	return 0, &NoBaseError{
		Newest: newest,
	}
}

// publish shows the change, and makes it unless this is a dry run.
func (a *applying) publish(c *cobra.Command, store *objectstore.Client, inForce table.Table, edit table.Edit) error {
	edit.Author, edit.Note, edit.AutoMerge = a.author, a.note, a.merge
	edit.ID = table.EditID(a.edit)
	if edit.ID == "" {
		id, err := editID(edit)
		if err != nil {
			return err
		}
		edit.ID = id
	}
	if edit.Base == inForce.Version {
		changes := table.Diff(inForce, edit.Table)
		printChanges(c.OutOrStdout(), fmt.Sprintf("changes to version %d:", inForce.Version), changes)
		if len(changes) == 0 && inForce.Version > 0 {
			fmt.Fprintf(c.OutOrStdout(), "version %d stays in force\n", inForce.Version)
			return a.waitFor(c, inForce.Version)
		}
	}
	if a.dryRun {
		return a.rehearse(c, store, inForce, edit)
	}
	publisher := table.Publisher{
		Store: store,
	}
	receipt, err := publisher.Publish(c.Context(), edit)
	if err != nil {
		explainConflict(c, err)
		return err
	}
	reportReceipt(c, receipt)
	return a.waitFor(c, receipt.Version)
}

// waitFor waits, if that is wanted, until the version is in force everywhere.
func (a *applying) waitFor(c *cobra.Command, version table.Version) error {
	if !a.wait.wanted {
		return nil
	}
	return a.wait.until(c, fmt.Sprintf("version %d", version), func(s hostStatus) bool {
		return s.TableVersion >= uint64(version)
	})
}

// rehearse tells what publishing would meet, without a write.
func (a *applying) rehearse(c *cobra.Command, store table.Getter, inForce table.Table, edit table.Edit) error {
	if edit.Base != inForce.Version {
		base := table.Table{}
		if edit.Base > 0 {
			snapshot, err := table.ReadVersion(c.Context(), store, edit.Base)
			if err != nil {
				return err
			}
			base = snapshot.Table
		}
		if !a.merge {
			err := &table.ConflictError{
				Base:    edit.Base,
				Current: inForce.Version,
				Ours:    table.Diff(base, edit.Table),
				Theirs:  table.Diff(base, inForce),
			}
			explainConflict(c, err)
			return err
		}
		merged, err := table.Merge(base, edit.Table, inForce)
		if err != nil {
			explainConflict(c, err)
			return err
		}
		printChanges(c.OutOrStdout(), fmt.Sprintf("changes to version %d:", inForce.Version), table.Diff(inForce, merged))
	}
	fmt.Fprintln(c.OutOrStdout(), "dry run: nothing was changed")
	return nil
}

func reportReceipt(c *cobra.Command, receipt table.PublishResult) {
	if receipt.AlreadyPublished {
		fmt.Fprintf(c.OutOrStdout(), "this edit had already made version %d; the version in force is %d\n", receipt.Version, receipt.CurrentVersion)
		return
	}
	fmt.Fprintf(c.OutOrStdout(), "accepted as version %d\n", receipt.Version)
}

// explainConflict shows both sides of a conflict.
func explainConflict(c *cobra.Command, err error) {
	var conflict *table.ConflictError
	var overlap *table.MergeConflictError
	switch {
	case errors.As(err, &conflict):
		printChanges(c.ErrOrStderr(), "this edit changes:", conflict.Ours)
		printChanges(c.ErrOrStderr(), "published meanwhile:", conflict.Theirs)
	case errors.As(err, &overlap):
		printChanges(c.ErrOrStderr(), "this edit changes:", overlap.Ours)
		printChanges(c.ErrOrStderr(), "published meanwhile, in the same rows:", overlap.Theirs)
	}
}

// editID names an edit by its base and content, so that the same command run
// again is the same edit.
func editID(edit table.Edit) (table.EditID, error) {
	var text bytes.Buffer
	text.WriteString(strconv.FormatUint(uint64(edit.Base), 10))
	if err := table.WriteCSV(&text, edit.Table); err != nil {
		return "", err
	}
	sum := sha256.Sum256(text.Bytes())
	return table.EditID(hex.EncodeToString(sum[:16])), nil
}
