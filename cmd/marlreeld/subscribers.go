package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/operatorclient"
)

// newSubscribers returns the commands for tenants and their keys. Only a newly generated key is ever printed.
func newSubscribers(flags *operatorFlags) *cobra.Command {
	command := &cobra.Command{Use: "subscribers", Short: "list the tenants, and rotate their keys"}
	command.AddCommand(newSubscribersList(flags), newSubscribersRotate(flags))
	return command
}

func newSubscribersList(flags *operatorFlags) *cobra.Command {
	file := ""
	fingerprints := false
	command := &cobra.Command{
		Use: "list", Short: "show the tenants: how many keys each has, and its limits", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			data, err := readDocument(command, flags, file)
			if err != nil {
				return err
			}
			document, failure := configuration.Decode(data)
			if failure != nil {
				return failure
			}
			return printSubscribers(command.OutOrStdout(), document, fingerprints)
		},
	}
	command.Flags().StringVar(&file, "file", "", "go by this configuration, not by the one at control")
	command.Flags().BoolVar(&fingerprints, "fingerprints", false, "show the keys' fingerprints too")
	return command
}

func printSubscribers(out io.Writer, document *configuration.Document, fingerprints bool) error {
	if !document.RequiresKeys() {
		_, err := fmt.Fprintf(out, "version %d lists no subscribers: requests need no key\n", document.Version)
		return err
	}
	table := newTable(out)
	fmt.Fprintf(table, "version %d\t%d subscribers\n", document.Version, len(document.Subscribers))
	for i := range document.Subscribers {
		subscriber := &document.Subscribers[i]
		fmt.Fprintf(table, "%s\tkeys %d\t%s\t%s\n", subscriber.Name, len(subscriber.AccessKeys), formatPriority(subscriber), formatLimit(subscriber))
		if !fingerprints {
			continue
		}
		for _, key := range subscriber.AccessKeys {
			fmt.Fprintf(table, "\tkey %s\n", configuration.KeyFingerprint(key))
		}
	}
	return table.Flush()
}

func formatPriority(s *configuration.Subscriber) string {
	if s.Priority == nil {
		return "priority of the route"
	}
	return fmt.Sprintf("priority %d", *s.Priority)
}

func formatLimit(s *configuration.Subscriber) string {
	switch {
	case !s.Limited():
		return "no limit"
	case s.Unit == configuration.UnitTokens:
		return fmt.Sprintf("%v tokens/s, burst %v, %v where a request says none", s.RatePerS, s.BurstSize, s.RawTokens)
	}
	return fmt.Sprintf("%v requests/s, burst %v", s.RatePerS, s.BurstSize)
}

func newSubscribersRotate(flags *operatorFlags) *cobra.Command {
	keyFile, fingerprint := "", ""
	command := &cobra.Command{
		Use: "rotate NAME", Short: "give a tenant a new key, or with --remove take an old one away", Args: cobra.ExactArgs(1),
		Example: "  marlreeld subscribers rotate north --control 10.1.0.2:8082                    # generates a key, prints it\n" +
			"  marlreeld subscribers rotate north --key-file - --control 10.1.0.2:8082 < key\n" +
			"  marlreeld subscribers rotate north --remove 1f0a52c94b7e --control 10.1.0.2:8082",
		RunE: flags.withClient(func(command *cobra.Command, client *operatorclient.Client, args []string) error {
			if fingerprint != "" {
				return removeKey(command, client, args[0], fingerprint)
			}
			return addKey(command, client, args[0], keyFile)
		}),
	}
	command.Flags().StringVar(&keyFile, "key-file", "", "the file with the new key, - for standard input; else a key is generated")
	command.Flags().StringVar(&fingerprint, "remove", "", "the fingerprint of the key to take away (subscribers list --fingerprints)")
	command.MarkFlagsMutuallyExclusive("key-file", "remove")
	return command
}

// addKey adds the key in keyFile to a tenant, or a generated one if keyFile is empty. A generated key is printed after
// control has committed it.
func addKey(command *cobra.Command, client *operatorclient.Client, name, keyFile string) error {
	key := rand.Text()
	if keyFile != "" {
		var err error
		if key, err = readKey(command, keyFile); err != nil {
			return err
		}
	}
	document, err := readParsed(command, client)
	if err != nil {
		return err
	}
	change, failure := document.AddKey(name, key)
	if failure != nil {
		return failure
	}
	if err := printAccepted(command, client.ModifyConfiguration(command.Context(), document.Version, change)); err != nil {
		return err
	}
	if keyFile == "" {
		fmt.Fprintf(command.OutOrStdout(), "key %s\n", key)
	}
	_, err = fmt.Fprintf(command.OutOrStdout(), "fingerprint %s\n", configuration.KeyFingerprint(key))
	return err
}

func removeKey(command *cobra.Command, client *operatorclient.Client, name, fingerprint string) error {
	document, err := readParsed(command, client)
	if err != nil {
		return err
	}
	change, failure := document.RemoveKey(name, fingerprint)
	if failure != nil {
		return failure
	}
	return printAccepted(command, client.ModifyConfiguration(command.Context(), document.Version, change))
}

// readParsed reads and decodes the configuration in force.
func readParsed(command *cobra.Command, client *operatorclient.Client) (*configuration.Document, error) {
	data, err := client.ReadConfiguration(command.Context())
	if err != nil {
		return nil, err
	}
	document, failure := configuration.Decode(data)
	if failure != nil {
		return nil, failure
	}
	return document, nil
}

// readKey reads a key from a file. Its errors never contain the key.
func readKey(command *cobra.Command, path string) (string, error) {
	data, err := readFile(command, path)
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(string(data))
	if key == "" || strings.ContainsFunc(key, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return "", &UsageError{Reason: "the file must contain one key: a single line without spaces"}
	}
	return key, nil
}
