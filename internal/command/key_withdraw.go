package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/team"
)

// leastDigits is how many digits of a hash name a key at least.
const leastDigits = 8

// trefoilline key withdraw HASH | --team TEAM [--wait]
//
// Withdraws a key, or all keys of a team, for good.
func newKeyWithdraw() *cobra.Command {
	var name string
	var wait waiting
	c := &cobra.Command{
		Use:   "withdraw [HASH]",
		Short: "Withdraw a key, or all keys of a team, for good",
		Long: `Withdraw the key whose hash starts with the digits, at least 8 of them, or all
keys of a team. Hosts refuse the key within seconds, on open connections too. A
withdrawn key never becomes good again; withdrawing it again changes nothing.

With --wait, returns once the withdrawal is in force on every entry host.`,
		Example: `  trefoilline key withdraw 5f3a90c1
  trefoilline key withdraw --team north-schools --wait`,
		Args: arguments(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			if (name == "") == (len(given) == 0) {
				return &InvalidArgumentError{
					Name:     "team",
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
	wait.add(c)
	return c
}

func withdrawKey(c *cobra.Command, digits string, wait waiting) error {
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
	return reportWithdrawn(c, store, wait, record)
}

func withdrawTeam(c *cobra.Command, name string, wait waiting) error {
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
	return reportWithdrawn(c, store, wait, records...)
}

func reportWithdrawn(c *cobra.Command, store *objectstore.Client, wait waiting, records ...team.KeyRecord) error {
	var newest objectstore.Version
	for _, r := range records {
		fmt.Fprintf(c.OutOrStdout(), "withdrawn: %s of team %s, at %s\n", r.Hash, r.Team, moment(r.Withdrawn))
		if !wait.wanted {
			continue
		}
		object, err := store.Get(c.Context(), team.ObjectKey(r.Hash))
		if err != nil {
			return err
		}
		newest = max(newest, object.Version)
	}
	if !wait.wanted {
		fmt.Fprintln(c.ErrOrStderr(), "written to the store; --wait tells when every entry host has it")
		return nil
	}
	return wait.until(c, "the withdrawal", func(s hostStatus) bool {
		return s.KeysVersion >= uint64(newest)
	})
}

// findKey returns the one hash that starts with the digits.
func findKey(ctx context.Context, store *objectstore.Client, digits string) (team.Hash, error) {
	digits = strings.ToLower(digits)
	if len(digits) < leastDigits || strings.Trim(digits, "0123456789abcdef") != "" {
		return team.Hash{}, &InvalidArgumentError{
			Name:     "hash",
			Value:    hideKey(digits),
			Accepted: "8 to 64 hexadecimal digits that the hash starts with",
		}
	}
	objects, err := store.List(ctx, team.KeyRecordPrefix+digits)
	if err != nil {
		return team.Hash{}, err
	}
	var hashes []team.Hash
	for _, object := range objects {
		hash, err := team.ParseHash(strings.TrimPrefix(object.Key, team.KeyRecordPrefix))
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

// hideKey keeps a key that was given in place of a hash out of messages.
func hideKey(text string) string {
	if strings.HasPrefix(text, team.APIKeyPrefix) {
		return team.APIKeyPrefix + "hidden"
	}
	return text
}
