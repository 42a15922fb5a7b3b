package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/objectstore"
)

// minHashDigits is the minimum length of a hash prefix that identifies a key.
const minHashDigits = 8

// newKeyWithdrawCommand returns the command that permanently withdraws a key, or all keys
// of a team:
//
//	trefoilline key withdraw HASH | --team TEAM [--wait]
func newKeyWithdrawCommand() *cobra.Command {
	var teamName string
	var wait waitOptions
	c := &cobra.Command{
		Use:   "withdraw [HASH]",
		Short: "Permanently withdraw a key, or all keys of a team",
		Long: `Permanently withdraw the key whose hash starts with HASH (at least 8 hexadecimal
digits), or all keys of a team. Hosts refuse the key within seconds, also on open
connections. A withdrawn key never becomes valid again; withdrawing it a second
time changes nothing.

With --wait, the command returns when every entry host has applied the withdrawal.`,
		Example: `  trefoilline key withdraw 5f3a90c1
  trefoilline key withdraw --team north-schools --wait`,
		Args: withUsageError(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if (teamName == "") == (len(args) == 0) {
				return &InvalidArgumentError{
					Name:     "team",
					Value:    teamName,
					Accepted: "either a hash or a team",
				}
			}
			if teamName != "" {
				return withdrawTeam(c, teamName, wait)
			}
			return withdrawKey(c, args[0], wait)
		},
	}
	c.Flags().StringVar(&teamName, "team", "", "withdraw all keys of this team")
	wait.addFlags(c)
	return c
}

func withdrawKey(c *cobra.Command, prefix string, wait waitOptions) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	hash, err := findKey(c.Context(), store, prefix)
	if err != nil {
		return err
	}
	manager := apikey.KeyManager{
		Store: store,
	}
	record, err := manager.Withdraw(c.Context(), hash)
	if err != nil {
		return err
	}
	return reportWithdrawal(c, store, wait, record)
}

func withdrawTeam(c *cobra.Command, teamName string, wait waitOptions) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	manager := apikey.KeyManager{
		Store: store,
	}
	records, err := manager.WithdrawTeam(c.Context(), teamName)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		fmt.Fprintf(c.OutOrStdout(), "team %s has no keys\n", teamName)
		return nil
	}
	return reportWithdrawal(c, store, wait, records...)
}

func reportWithdrawal(c *cobra.Command, store *objectstore.Client, wait waitOptions, records ...apikey.KeyRecord) error {
	var highestVersion objectstore.Version
	for _, r := range records {
		fmt.Fprintf(c.OutOrStdout(), "withdrawn: %s of team %s, at %s\n", r.Hash, r.Team, formatTime(r.WithdrawnAt))
		if !wait.enabled {
			continue
		}
		object, err := store.Get(c.Context(), apikey.ObjectKey(r.Hash))
		if err != nil {
			return err
		}
		highestVersion = max(highestVersion, object.Version)
	}
	if !wait.enabled {
		fmt.Fprintln(c.ErrOrStderr(), "written to the store; use --wait to wait until every entry host has applied it")
		return nil
	}
	return wait.waitForHosts(c, "the withdrawal", func(s hostStatus) bool {
		return s.KeysVersion >= uint64(highestVersion)
	})
}

// findKey returns the hash of the only key whose hash starts with prefix. It returns
// a KeyNotFoundError if there is none and an AmbiguousHashPrefixError if there are
// several.
func findKey(ctx context.Context, store *objectstore.Client, prefix string) (apikey.Hash, error) {
	prefix = strings.ToLower(prefix)
	if len(prefix) < minHashDigits || strings.Trim(prefix, "0123456789abcdef") != "" {
		return apikey.Hash{}, &InvalidArgumentError{
			Name:     "hash",
			Value:    redactKey(prefix),
			Accepted: "the first 8 to 64 hexadecimal digits of the hash",
		}
	}
	objects, err := store.List(ctx, apikey.KeyRecordPrefix+prefix)
	if err != nil {
		return apikey.Hash{}, err
	}
	var hashes []apikey.Hash
	for _, object := range objects {
		hash, err := apikey.ParseHash(strings.TrimPrefix(object.Key, apikey.KeyRecordPrefix))
		if err != nil {
			return apikey.Hash{}, err
		}
		hashes = append(hashes, hash)
	}
	switch len(hashes) {
	case 0:
		return apikey.Hash{}, &KeyNotFoundError{
			HashPrefix: prefix,
		}
	case 1:
		return hashes[0], nil
	}
	return apikey.Hash{}, &AmbiguousHashPrefixError{
		HashPrefix: prefix,
		Hashes:     hashes,
	}
}

// redactKey hides a key that was given instead of a hash, so that it does not
// appear in error messages.
func redactKey(text string) string {
	if strings.HasPrefix(text, apikey.APIKeyPrefix) {
		return apikey.APIKeyPrefix + "hidden"
	}
	return text
}
