package main

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/mountstile/mountstile/internal/keys"
	"github.com/mountstile/mountstile/internal/resource"
)

type keyCommand struct {
	Tenant string `long:"tenant" default:"platform" description:"tenant of the key; 'platform' makes an administrator's"`
	ID     string `long:"id" required:"yes" description:"identifier of the key"`
	Role   string `long:"role" default:"caller" choice:"caller" choice:"reader" choice:"operator" description:"what the key may do"`
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	secret := rand.Text()
	key := resource.NewAPIKey(c.ID, secret, resource.Role(c.Role))
	fmt.Printf("key (shown once): %s.%s.%s\n", c.Tenant, c.ID, secret)
	fmt.Printf("for a Tenant or a settings file:\n- id: %s\n  salt: %s\n  hash: %s\n  role: %s\n", key.ID, key.Salt, key.Hash, key.Role)
	fmt.Printf("for the flag --admin-key: %s:%s:%s\n", key.ID, key.Salt, key.Hash)
	return nil
}

type keysCommand struct {
	Folder  string   `long:"folder" required:"yes" description:"folder of the authority and the certificates"`
	Cluster string   `long:"cluster" default:"mountstile" description:"cluster that the authority is for"`
	Create  bool     `long:"create-authority" description:"make a new authority first"`
	Days    int      `long:"days" default:"90" description:"how long the node certificates are valid"`
	Nodes   []string `long:"node" description:"make a certificate for this node; may be repeated"`
}

const day = 24 * time.Hour

// Execute implements flags.Commander.
func (c *keysCommand) Execute([]string) error {
	if c.Create {
		if err := keys.CreateAuthority(c.Folder, c.Cluster); err != nil {
			return err
		}
	}
	for _, name := range c.Nodes {
		if err := keys.CreateNodeCertificate(c.Folder, name, time.Duration(c.Days)*day); err != nil {
			return err
		}
	}
	return nil
}
