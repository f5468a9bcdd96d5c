// Package configuration publishes changes of the configuration to the store by compare-and-swap and
// distributes accepted revisions to all nodes. A node never installs an older revision than it has.
// docs/design/configuration.md describes the design.
package configuration

import (
	"encoding/json"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/resource"
)

// Document is one accepted revision, as it is stored and sent between nodes.
type Document struct {
	Revision uint64 `json:"revision"`
	// ChangeID identifies the change, so that a publisher can find it after a lost response.
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Upserts and Deletes are the resources that this revision changed, for the audit log.
	Upserts   []resource.Key      `json:"upserts,omitempty"`
	Deletes   []resource.Key      `json:"deletes,omitempty"`
	Resources []resource.Resource `json:"resources"`
}

// Change is a set of upserts and deletes that is published as one revision.
type Change struct {
	ChangeID string              `json:"change_id"`
	Author   string              `json:"author"`
	Upserts  []resource.Resource `json:"upserts,omitempty"`
	Deletes  []resource.Key      `json:"deletes,omitempty"`
	// Base is the revision that the change is based on; 0 skips the check for conflicts.
	Base uint64 `json:"base,omitempty"`
}

// Snapshot is an installed revision.
type Snapshot struct {
	Document Document
	Set      *resource.Set
	encoded  []byte
}

// Revision returns the snapshot's revision; 0 means that none was installed yet.
func (s *Snapshot) Revision() uint64 { return s.Document.Revision }

// head is the value of headKey, on which publishers compare and swap.
type head struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
}

// Documents are compressed to stay below etcd's limit of 1.5 MB for a request.
var (
	encoder, _ = zstd.NewWriter(nil)
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDocumentBytes))
)

const maxDocumentBytes = 64 << 20

func encodeDocument(document Document) ([]byte, error) {
	plain, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a revision")
	}
	return encoder.EncodeAll(plain, nil), nil
}

func decodeDocument(encoded []byte) (Document, error) {
	var document Document
	plain, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return document, errors.Wrap(err, "decompressing a revision")
	}
	if err := json.Unmarshal(plain, &document); err != nil {
		return document, errors.Wrap(err, "decoding a revision")
	}
	return document, nil
}

// apply returns the document of the revision after current.
func apply(current Document, change Change, at time.Time) Document {
	next := Document{Revision: current.Revision + 1, ChangeID: change.ChangeID, Author: change.Author, At: at}
	replaced := make(map[resource.Key]bool)
	for _, item := range change.Upserts {
		replaced[item.Key()] = true
		next.Upserts = append(next.Upserts, item.Key())
	}
	for _, key := range change.Deletes {
		replaced[key] = true
		next.Deletes = append(next.Deletes, key)
	}
	for _, item := range current.Resources {
		if !replaced[item.Key()] {
			next.Resources = append(next.Resources, item)
		}
	}
	for _, item := range change.Upserts {
		item.Revision = next.Revision
		next.Resources = append(next.Resources, item)
	}
	return next
}
