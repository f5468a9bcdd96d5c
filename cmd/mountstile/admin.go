package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/adminclient"
	"github.com/mountstile/mountstile/internal/node"
	"github.com/mountstile/mountstile/internal/resource"
)

// connection has the flags of all commands that send requests to a node.
type connection struct {
	Endpoint string `long:"endpoint" env:"MOUNTSTILE_ENDPOINT" default:"http://127.0.0.1:7490" description:"administration address of any node"`
	Key      string `long:"key" env:"MOUNTSTILE_KEY" description:"API key with the role operator or reader"`
}

func (c connection) client() *adminclient.Client { return adminclient.New(c.Endpoint, c.Key) }

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "printing the result")
}

func readFiles(paths []string) ([]byte, error) {
	var joined bytes.Buffer
	for _, path := range paths {
		// The files are decoded here so that errors name the file and line; the node decodes them again.
		if _, err := decodeFile(path); err != nil {
			return nil, err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "reading a resource file")
		}
		joined.Write(content)
		joined.WriteString("\n---\n")
	}
	return joined.Bytes(), nil
}

type applyCommand struct {
	connection
	Base    uint64        `long:"base" description:"refuse if the resources were changed after this revision"`
	Change  string        `long:"change-id" description:"identifier of the change, to repeat it safely"`
	Wait    bool          `long:"wait" description:"return when the change is in force on all live nodes"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long --wait waits"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	content, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	ctx := context.Background()
	result, err := c.client().Apply(ctx, content, adminclient.Change{ID: c.Change, Base: c.Base})
	if err != nil {
		return err
	}
	fmt.Printf("revision %d, %d resources changed\n", result.Revision, len(result.Changed))
	if !c.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	if err := c.client().WaitInForce(ctx, result.Revision); err != nil {
		return err
	}
	fmt.Println("in force on all live nodes")
	return nil
}

type diffCommand struct {
	connection
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	content, err := readFiles(c.Args.Files)
	if err != nil {
		return err
	}
	result, err := c.client().Diff(context.Background(), content)
	if err != nil {
		return err
	}
	return printJSON(result)
}

type getCommand struct {
	connection
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	if c.Args.Name != "" {
		found, err := c.client().Get(context.Background(), resource.Key{Kind: resource.Kind(c.Args.Kind), Name: c.Args.Name})
		if err != nil {
			return err
		}
		return printJSON(found)
	}
	list, err := c.client().List(context.Background(), c.Args.Kind)
	if err != nil {
		return err
	}
	return printJSON(list)
}

type deleteCommand struct {
	connection
	Base uint64 `long:"base" description:"refuse if the resource was changed after this revision"`
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute([]string) error {
	key := resource.Key{Kind: resource.Kind(c.Args.Kind), Name: c.Args.Name}
	result, err := c.client().Delete(context.Background(), key, adminclient.Change{Base: c.Base})
	if err != nil {
		return err
	}
	fmt.Printf("revision %d\n", result.Revision)
	return nil
}

type historyCommand struct {
	connection
	Count int `long:"count" default:"20" description:"how many revisions"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	list, err := c.client().History(context.Background(), c.Count)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tWHEN\tAUTHOR\tCHANGED\tDELETED")
	for _, document := range list.Revisions {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", document.Revision, document.At.Format(time.RFC3339), document.Author, joinKeys(document.Upserts), joinKeys(document.Deletes))
	}
	return errors.Wrap(table.Flush(), "printing the result")
}

// joinKeys formats keys as a list of KIND/NAME.
func joinKeys(keys []resource.Key) string {
	names := make([]string, 0, len(keys))
	for _, key := range keys {
		names = append(names, string(key.Kind)+"/"+key.Name)
	}
	return strings.Join(names, ",")
}

type restoreCommand struct {
	connection
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *restoreCommand) Execute([]string) error {
	result, err := c.client().Restore(context.Background(), c.Args.Revision)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d, %d resources changed\n", result.Revision, len(result.Changed))
	return nil
}

type statusCommand struct {
	connection
	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	status, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tREGION\tSTATUS\tREADY\tREVISION\tACTIVE\tREPLICAS\tLEADS\tUNREPAIRED\tPROGRAMS")
	for _, member := range status.Members {
		if member.Node == nil {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t\t\t\t\t\t\t\n", member.Member.ID, member.Member.Zone, member.Member.Region, member.Member.Status)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%d\t%d\t%d\t%d\t%d\t%d\n", member.Member.ID, member.Member.Zone, member.Member.Region, member.Member.Status,
			member.Node.Ready, member.Node.Revision, member.Node.Active, member.Node.Replicas, member.Node.Leads, member.Node.Unrepaired, member.Node.Programs)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "printing the result")
	}
	fmt.Printf("revision %d; %d nodes lag\n", status.Revision, len(status.Lagging))
	return nil
}

type modelsCommand struct {
	connection
	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *modelsCommand) Execute([]string) error {
	list, err := c.client().Models(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(list)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POOL\tENGINE\tMODEL")
	for _, item := range list.Engines {
		fmt.Fprintf(table, "%s\t%s\t%s\n", item.Pool, item.Engine, item.Model)
	}
	return errors.Wrap(table.Flush(), "printing the result")
}

type drainCommand struct {
	connection
	Node   string `long:"node" description:"name or ID of a node to stop in order"`
	Pool   string `long:"pool" description:"pool of the engine to drain"`
	Engine string `long:"engine" description:"engine to drain"`
	Undo   bool   `long:"undo" description:"let work come to the engine again"`
}

// errDrainTarget means that the flags of drain name no target, part of one, or both kinds.
type errDrainTarget struct{}

// Error implements error.
func (errDrainTarget) Error() string { return "specify either --node, or both --pool and --engine" }

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	engineGiven := c.Pool != "" && c.Engine != ""
	switch {
	case c.Node != "" && !engineGiven:
		return c.client().DrainNode(context.Background(), c.Node)
	case c.Node == "" && engineGiven:
		result, err := c.client().DrainEngine(context.Background(), c.Pool, c.Engine, c.Undo)
		if err != nil {
			return err
		}
		fmt.Printf("revision %d\n", result.Revision)
		return nil
	}
	return errDrainTarget{}
}

type programsCommand struct {
	connection
	Tenant string `long:"tenant" description:"only this tenant's"`
}

// Execute implements flags.Commander.
func (c *programsCommand) Execute([]string) error {
	list, err := c.client().Programs(context.Background(), c.Tenant)
	if err != nil {
		return err
	}
	return printJSON(list)
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println("mountstile " + node.Version)
	return nil
}
