package resource

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Encode returns the resources as YAML documents that Decode can read.
func Encode(resources []Resource) ([]byte, error) {
	var output bytes.Buffer
	for _, item := range resources {
		encoded, err := item.encode()
		if err != nil {
			return nil, errors.Wrapf(err, "encoding %s %s", item.Kind, item.Name)
		}
		output.WriteString("---\n")
		output.Write(encoded)
	}
	return output.Bytes(), nil
}

func (r Resource) encode() ([]byte, error) {
	switch {
	case r.Tenant != nil:
		return yaml.Marshal(document[Tenant]{r.Kind, r.Name, *r.Tenant})
	case r.Service != nil:
		return yaml.Marshal(document[Service]{r.Kind, r.Name, *r.Service})
	case r.Pool != nil:
		return yaml.Marshal(document[Pool]{r.Kind, r.Name, *r.Pool})
	case r.Policy != nil:
		return yaml.Marshal(document[Policy]{r.Kind, r.Name, *r.Policy})
	case r.Limit != nil:
		return yaml.Marshal(document[Limit]{r.Kind, r.Name, *r.Limit})
	}
	return nil, r.fieldError("spec", "is missing")
}
