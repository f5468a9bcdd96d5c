package configuration

import (
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/resource"
)

// delta is the change from one revision to the next. Peers exchange it instead of the whole document.
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

// apply returns the document that follows base. The delta must be for the revision after base.
func (d *delta) apply(base Document) (Document, error) {
	if d.Revision != base.Revision+1 {
		return Document{}, apierr.New(apierr.Internal, apierr.NotRun, "a delta to revision %d cannot be applied to revision %d", d.Revision, base.Revision)
	}
	change := Change{ChangeID: d.ChangeID, Author: d.Author, Upserts: d.Upserts, Deletes: d.Deletes}
	return apply(base, change, d.At), nil
}
