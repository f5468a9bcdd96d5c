package resource

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// FieldError is an invalid or unknown field of a resource, with its place in the file if it was read from one.
type FieldError struct {
	File   string
	Line   int
	Kind   Kind
	Name   string
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	subject := strings.TrimSpace(fmt.Sprintf("%s %s", e.Kind, e.Name))
	return strings.TrimSpace(fmt.Sprintf("%s: %s: %s: %s", where, subject, e.Field, e.Reason))
}

// document is the YAML representation of a resource.
type document[Spec any] struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
	Spec Spec   `yaml:"spec"`
}

type header struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
}

// Decode reads a stream of YAML documents, fills defaults and validates each resource. Unknown fields are
// rejected. file is only used in errors.
func Decode(file string, input io.Reader) ([]Resource, error) {
	content, err := io.ReadAll(input)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", file)
	}
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, yamlError(file, header{}, err)
	}
	var resources []Resource
	for _, node := range parsed.Docs {
		if isEmptyDocument(node) {
			continue
		}
		decoded, err := decodeDocument(file, node)
		if err != nil {
			return nil, err
		}
		resources = append(resources, decoded)
	}
	return resources, nil
}

func isEmptyDocument(node *ast.DocumentNode) bool {
	if node.Body == nil {
		return true
	}
	_, isNull := node.Body.(*ast.NullNode)
	return isNull || node.Body.Type() == ast.CommentType
}

func decodeDocument(file string, node *ast.DocumentNode) (Resource, error) {
	text := []byte(node.Body.String())
	line := node.Body.GetToken().Position.Line
	var head header
	if err := yaml.Unmarshal(text, &head); err != nil {
		return Resource{}, addLineOffset(yamlError(file, head, err), line)
	}
	result := Resource{Kind: head.Kind, Name: head.Name}
	var err error
	switch head.Kind {
	case KindTenant:
		result.Tenant, err = decodeSpec[Tenant](text)
	case KindService:
		result.Service, err = decodeSpec[Service](text)
	case KindPool:
		result.Pool, err = decodeSpec[Pool](text)
	case KindPolicy:
		result.Policy, err = decodeSpec[Policy](text)
	case KindLimit:
		result.Limit, err = decodeSpec[Limit](text)
	default:
		return Resource{}, &FieldError{File: file, Line: line, Field: "kind",
			Reason: fmt.Sprintf("%q is not one of Tenant, Service, Pool, Policy, Limit", head.Kind)}
	}
	if err != nil {
		return Resource{}, addLineOffset(yamlError(file, head, err), line)
	}
	result.applyDefaults()
	if err := result.Check(); err != nil {
		err.File, err.Line = file, line
		return Resource{}, err
	}
	return result, nil
}

func decodeSpec[Spec any](text []byte) (*Spec, error) {
	var decoded document[Spec]
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := decoder.Decode(&decoded); err != nil {
		return nil, err
	}
	return &decoded.Spec, nil
}

var unknownFieldPattern = regexp.MustCompile(`unknown field "([^"]+)"`)

// yamlError converts an error of the YAML library to a FieldError, with the line if it is known.
func yamlError(file string, head header, err error) *FieldError {
	result := &FieldError{File: file, Kind: head.Kind, Name: head.Name, Field: "syntax", Reason: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		result.Reason = located.GetMessage()
		if token := located.GetToken(); token != nil {
			result.Line = token.Position.Line
			result.Field = token.Value
		}
	}
	if match := unknownFieldPattern.FindStringSubmatch(result.Reason); match != nil {
		result.Field, result.Reason = match[1], "unknown field"
	}
	return result
}

// addLineOffset converts the error's line within a document to a line of the file.
func addLineOffset(err *FieldError, documentLine int) *FieldError {
	if err.Line > 0 {
		err.Line += documentLine - 1
	} else {
		err.Line = documentLine
	}
	return err
}
