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

// MaxDocumentBytes is the largest value the platform's service holds.
const MaxDocumentBytes = 1 << 20

// FieldError is one fault of a document: where it is and what mends it.
type FieldError struct {
	// Path is a JSON pointer (RFC 6901), such as /tiers/0/spec/rank.
	Path string `json:"path"`
	// Message says what is wrong and names the remedy.
	Message string `json:"message"`
}

// Error implements error.
func (e FieldError) Error() string { return e.Path + ": " + e.Message }

// RejectedError lists every fault found in a document. Its order is that of the
// document, so that equal documents give equal errors on every instance.
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

// Decode reads a document strictly: unknown fields, duplicate fields, wrong
// types and trailing data are rejected with the path of the field.
func Decode(content []byte) (*api.Document, error) {
	var doc api.Document
	if err := decodeStrict(content, &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

func decodeStrict(content []byte, into any) *RejectedError {
	if len(content) > MaxDocumentBytes {
		return rejected("", fmt.Sprintf("is %d bytes; publish at most %d, with organisations in parts", len(content), MaxDocumentBytes))
	}
	if err := json.Unmarshal(content, into, json.RejectUnknownMembers(true)); err != nil {
		return decodeFault(err)
	}
	return nil
}

// withPathPrefix returns the faults with a path before theirs.
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
		return rejected(string(syntactic.JSONPointer), fmt.Sprintf("is not valid JSON at byte %d (%v); mend the syntax", syntactic.ByteOffset, syntactic.Err))
	}
	return rejected("", fmt.Sprintf("is not valid JSON (%v); mend the syntax", err))
}

func semanticMessage(e *json.SemanticError) string {
	if errors.Is(e.Err, json.ErrUnknownName) {
		return "is no known field; remove it or correct its name"
	}
	if e.Err != nil {
		return fmt.Sprintf("holds an unfit value (%v); see the resource reference for its type", e.Err)
	}
	return fmt.Sprintf("holds %s where %s is wanted; see the resource reference", jsonKindNames[e.JSONKind], goKindNames[e.GoType.Kind()])
}

// jsonKindNames names what stands in a document, goKindNames what is wanted there.
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
