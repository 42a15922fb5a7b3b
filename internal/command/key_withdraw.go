package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/team"
)

// minHashDigits is how many digits of a hash name a key at least.
const minHashDigits = 8

// trefoilline key withdraw HASH | --team TEAM [--wait]
//
// Withdraws a key, or all keys of a team, for good.
func newKeyWithdraw() *cobra.Command {
	var name string
	var wait waitOptions
	c := &cobra.Command{
		Use:   "withdraw [HASH]",
		Short: "Withdraw a key, or all keys of a team, for good",
		Long: `Withdraw the key whose hash starts with the digits, at least 8 of them, or all
keys of a team. Hosts refuse the key within seconds, on open connections too. A
withdrawn key never becomes good again; withdrawing it again changes nothing.

With --wait, returns once the withdrawal is in force on every entry host.`,
		Example: `  trefoilline key withdraw 5f3a90c1
  trefoilline key withdraw --team north-schools --wait`,
		Args: usageChecked(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			if (name == "") == (len(given) == 0) {
				return &InvalidSettingError{
					Setting:  "team",
					Value:    name,
					Accepted: "either a hash or a team",
				}
			}
			if name != "" {
				return withdrawTeam(c, name, wait)
			}
			return withdrawKey(c, given[0], wait)
		},
	}
	c.Flags().StringVar(&name, "team", "", "withdraw all keys of this team")
	wait.addFlags(c)
	return c
}

func withdrawKey(c *cobra.Command, digits string, wait waitOptions) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	hash, err := findKey(c.Context(), store, digits)
	if err != nil {
		return err
	}
	office := team.KeyManager{
		Store: store,
	}
	record, err := office.Withdraw(c.Context(), hash)
	if err != nil {
		return err
	}
	return finishWithdrawal(c, store, wait, record)
}

func withdrawTeam(c *cobra.Command, name string, wait waitOptions) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	office := team.KeyManager{
		Store: store,
	}
	records, err := office.WithdrawTeam(c.Context(), name)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		fmt.Fprintf(c.OutOrStdout(), "team %s has no keys\n", name)
		return nil
	}
	return finishWithdrawal(c, store, wait, records...)
}

func finishWithdrawal(c *cobra.Command, store *objectstore.Client, wait waitOptions, records ...team.KeyRecord) error {
	var newest objectstore.Version
	for _, r := range records {
		fmt.Fprintf(c.OutOrStdout(), "withdrawn: %s of team %s, at %s\n", r.Hash, r.Team, formatTime(r.Withdrawn))
		if !wait.enabled {
			continue
		}
		object, err := store.Get(c.Context(), team.ObjectKey(r.Hash))
		if err != nil {
			return err
		}
		newest = max(newest, object.Version)
	}
	if !wait.enabled {
		fmt.Fprintln(c.ErrOrStderr(), "written to the store; --wait tells when every entry host has it")
		return nil
	}
	return wait.waitForHosts(c, "the withdrawal", func(s hostStatus) bool {
		return s.KeysVersion >= uint64(newest)
	})
}

// findKey returns the one hash that starts with the digits.
func findKey(ctx context.Context, store *objectstore.Client, digits string) (team.Hash, error) {
	digits = strings.ToLower(digits)
	if len(digits) < minHashDigits || strings.Trim(digits, "0123456789abcdef") != "" {
		return team.Hash{}, &InvalidSettingError{
			Setting:  "hash",
			Value:    redactKey(digits),
			Accepted: "8 to 64 hexadecimal digits that the hash starts with",
		}
	}
	objects, err := store.List(ctx, team.RecordPrefix+digits)
	if err != nil {
		return team.Hash{}, err
	}
	var hashes []team.Hash
	for _, object := range objects {
		hash, err := team.ParseHash(strings.TrimPrefix(object.Key, team.RecordPrefix))
		if err != nil {
			return team.Hash{}, err
		}
		hashes = append(hashes, hash)
	}
	switch len(hashes) {
	case 0:
		return team.Hash{}, &KeyNotFoundError{
			HashPrefix: digits,
		}
	case 1:
		return hashes[0], nil
	}
	return team.Hash{}, &AmbiguousHashPrefixError{
		HashPrefix: digits,
		Hashes:     hashes,
	}
}

// redactKey keeps a key that was given in place of a hash out of messages.
func redactKey(text string) string {
	if strings.HasPrefix(text, team.APIKeyPrefix) {
		return team.APIKeyPrefix + "hidden"
	}
	return text
}
