package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/policy"
	"github.com/mountstile/mountstile/internal/resource"
)

type policyCommand struct {
	Test    policyTestCommand    `command:"test" description:"evaluate the policies of a file on the cases of another, offline"`
	Explain policyExplainCommand `command:"explain" description:"show why a call went to its engine"`
}

type policyTestCommand struct {
	Cases string `long:"cases" required:"yes" value-name:"FILE" description:"cases with inputs and expected results"`
	Args  struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *policyTestCommand) Execute([]string) error {
	resources, err := decodeFile(c.Args.File)
	if err != nil {
		return err
	}
	content, err := os.ReadFile(c.Cases)
	if err != nil {
		return errors.Wrap(err, "reading the cases file")
	}
	cases, err := policy.DecodeCases(c.Cases, content)
	if err != nil {
		return err
	}
	policies := make(map[string]resource.Policy)
	for _, item := range resources {
		if item.Policy != nil {
			policies[item.Name] = *item.Policy
		}
	}
	results, err := policy.RunCases(policies, cases)
	if err != nil {
		return err
	}
	failed := 0
	for _, result := range results {
		fmt.Println(result)
		if !result.Passed() {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", len(results)-failed, failed)
	if failed > 0 {
		return &policy.ErrCasesFailed{Count: failed}
	}
	return nil
}

type policyExplainCommand struct {
	connection
	Args struct {
		Call string `positional-arg-name:"CALL"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *policyExplainCommand) Execute([]string) error {
	decision, err := c.client().Decision(context.Background(), c.Args.Call)
	if err != nil {
		return err
	}
	fmt.Printf("call %s went to engine %s at %s; it stood in line: %t; deciding took %s\n",
		decision.Call, decision.Engine.Name, decision.At.Format("15:04:05.000"), decision.Queued, decision.Took)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENGINE\tSCORE\tRUNNING\tWAITING\tSLOTS\tWAIT\tSLOWNESS\tLEFT OUT BECAUSE")
	for _, candidate := range decision.Candidates {
		fmt.Fprintf(table, "%s\t%.3f\t%d\t%d\t%d\t%s\t%.1f\t%s\n", candidate.Engine.Name, candidate.Score,
			candidate.Load.Running, candidate.Load.Waiting, candidate.Load.Slots,
			time.Duration(candidate.Load.WaitMillis)*time.Millisecond, candidate.Slowness, candidate.Reason)
	}
	return errors.Wrap(table.Flush(), "printing the result")
}
