package configuration

import (
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/resource"
)

// delta is what one revision changed; it saves sending 2,000 tenants for one changed field.
type delta struct {
	Revision uint64              `json:"revision"`
	ChangeID string              `json:"change_id"`
	Author   string              `json:"author"`
	At       time.Time           `json:"at"`
	Upserts  []resource.Resource `json:"upserts,omitempty"`
	Deletes  []resource.Key      `json:"deletes,omitempty"`
}

func newDelta(document Document) *delta {
	result := &delta{
		Revision: document.Revision,
		ChangeID: document.ChangeID,
		Author:   document.Author,
		At:       document.At,
		Deletes:  document.Deletes,
	}
	for _, item := range document.Resources {
		if item.Revision == document.Revision {
			result.Upserts = append(result.Upserts, item)
		}
	}
	return result
}

// apply makes the next document of have. The delta must be for the revision after it.
func (d *delta) apply(have Document) (Document, error) {
	if d.Revision != have.Revision+1 {
		return Document{}, apierr.New(apierr.Internal, apierr.NotRun, "delta to revision %d does not fit revision %d", d.Revision, have.Revision)
	}
	change := Change{ChangeID: d.ChangeID, Author: d.Author, Upserts: d.Upserts, Deletes: d.Deletes}
	return apply(have, change, d.At), nil
}
