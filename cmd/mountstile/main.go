// Command mountstile runs a node of the scheduler and administers a cluster.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/resource"
	"github.com/mountstile/mountstile/internal/settings"
)

// The exit codes; docs/OPERATIONS.md documents them.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitLagging     = 6
)

type command struct {
	name, short, long string
	data              any
}

func main() {
	parser := flags.NewNamedParser("mountstile", flags.Default&^flags.PrintErrors)
	parser.LongDescription = "mountstile schedules the calls of agent programs on model and application engines. " +
		"'node' serves; the other commands check files offline or administer a running cluster."
	for _, item := range commands() {
		if _, err := parser.AddCommand(item.name, item.short, item.long, item.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailure)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(report(err))
	}
}

func commands() []command {
	return []command{
		{"node", "Run a node", "Runs a node until it is stopped. SIGTERM or SIGINT begins a planned stop, which cuts off no request; a second one ends the node at once.", &nodeCommand{}},
		{"check", "Check files offline", "Checks settings and resource files without a cluster, and names file, line and field of each mistake.", &checkCommand{}},
		{"apply", "Publish resources", "Publishes the resources of YAML files as one change; in force on all nodes within seconds.", &applyCommand{}},
		{"diff", "Compare files with what is in force", "Shows how applying the files would change the configuration.", &diffCommand{}},
		{"get", "Show resources", "Shows all resources, those of a kind, or one.", &getCommand{}},
		{"delete", "Delete a resource", "Deletes one resource.", &deleteCommand{}},
		{"history", "Show the audit log", "Shows who changed what, newest first.", &historyCommand{}},
		{"restore", "Go back to an earlier content", "Publishes the content of an earlier revision as a new revision.", &restoreCommand{}},
		{"models", "Show which engine has which model", "Shows the engines of pools that load models, with the model that each has; none while it loads.", &modelsCommand{}},
		{"status", "Show the cluster", "Shows members, the revision that each has in force, and who lags.", &statusCommand{}},
		{"drain", "Drain a node or an engine", "Asks a node for a planned stop, or keeps new work away from an engine.", &drainCommand{}},
		{"programs", "List programs", "Lists the programs under way.", &programsCommand{}},
		{"explain", "Explain how a request ended", "Reads the logs of several processes and prints, in order of time, what was decided about a request or program, what the processes believed then, and why it failed.", &explainCommand{}},
		{"policy", "Test or explain policies", "Tests a policy against cases, or explains where a call went.", &policyCommand{}},
		{"key", "Make an API key", "Makes an API key and the salted hash of it that goes into a Tenant or a settings file.", &keyCommand{}},
		{"keys", "Make certificates", "Makes a cluster's certificate authority and the certificates of its nodes.", &keysCommand{}},
		{"version", "Show the version", "Shows the version.", &versionCommand{}},
	}
}

// report prints an error and returns its exit code.
func report(err error) int {
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Println(usage.Message)
			return 0
		}
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var field *resource.FieldError
	var setting *settings.Error
	var lagging *adminclient.ErrLagging
	var failure *apierr.Error
	switch {
	case errors.As(err, &field), errors.As(err, &setting):
		return exitInvalid
	case errors.As(err, &lagging):
		for _, node := range lagging.Nodes {
			fmt.Fprintln(os.Stderr, "  "+node)
		}
		return exitLagging
	case errors.As(err, &failure):
		return apiExitCode(failure)
	}
	return exitFailure
}

func apiExitCode(failure *apierr.Error) int {
	switch failure.Code {
	case apierr.InvalidRequest:
		return exitInvalid
	case apierr.RevisionConflict:
		return exitConflict
	case apierr.StoreUnavailable, apierr.PeerUnreachable, apierr.PartitionUnavailable:
		return exitUnavailable
	}
	return exitFailure
}
