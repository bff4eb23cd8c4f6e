package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"github.com/tacktally/tacktally/api"
)

// MaxDocumentBytes is the maximum size of a value at the platform's configuration service.
const MaxDocumentBytes = 1 << 20

// FieldError is a fault in one field of a document.
type FieldError struct {
	// Path is a JSON pointer (RFC 6901), such as /tiers/0/spec/rank.
	Path string `json:"path"`
	// Message describes the fault and the remedy.
	Message string `json:"message"`
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// RejectedError lists all faults found in a document, in the order of the document,
// so that identical documents give identical errors on every instance.
type RejectedError struct {
	Faults []FieldError
}

// Error implements error.
func (e *RejectedError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return "document rejected: " + strings.Join(lines, "; ")
}

// Decode decodes a document. Unknown fields, duplicate fields, wrong types and
// trailing data are rejected with the path of the field.
func Decode(content []byte) (*api.Document, error) {
	var doc api.Document
	if err := decodeStrict(content, &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

func decodeStrict(content []byte, into any) *RejectedError {
	if len(content) > MaxDocumentBytes {
		return rejected("", fmt.Sprintf("is %d bytes; publish at most %d, and move organisations to parts", len(content), MaxDocumentBytes))
	}
	if err := json.Unmarshal(content, into, json.RejectUnknownMembers(true)); err != nil {
		return decodeFault(err)
	}
	return nil
}

// withPathPrefix prepends a path to the paths of the faults, and returns e.
func (e *RejectedError) withPathPrefix(path string) *RejectedError {
	for i := range e.Faults {
		e.Faults[i].Path = path + e.Faults[i].Path
	}
	return e
}

func decodeFault(err error) *RejectedError {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return rejected(string(semantic.JSONPointer), semanticMessage(semantic))
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return rejected(string(syntactic.JSONPointer), fmt.Sprintf("is not valid JSON at byte %d (%v); correct the syntax", syntactic.ByteOffset, syntactic.Err))
	}
	return rejected("", fmt.Sprintf("is not valid JSON (%v); correct the syntax", err))
}

func semanticMessage(e *json.SemanticError) string {
	if errors.Is(e.Err, json.ErrUnknownName) {
		return "unknown field; remove it or correct its name"
	}
	if e.Err != nil {
		return fmt.Sprintf("has an invalid value (%v); see the resource reference for its type", e.Err)
	}
	return fmt.Sprintf("has %s where %s is expected; see the resource reference", jsonKindNames[e.JSONKind], goKindNames[e.GoType.Kind()])
}

// jsonKindNames describes the kind of a JSON value, goKindNames the kind that a field expects.
var (
	jsonKindNames = map[jsontext.Kind]string{
		'n': "null", 't': "true", 'f': "false", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
	}
	goKindNames = map[reflect.Kind]string{
		reflect.Bool: "true or false", reflect.Int: "a whole number", reflect.Float64: "a number",
		reflect.String: "a string", reflect.Struct: "an object", reflect.Slice: "an array",
	}
)

func rejected(path, message string) *RejectedError {
	return &RejectedError{Faults: []FieldError{{Path: path, Message: message}}}
}
