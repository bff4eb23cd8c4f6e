package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tacktally/tacktally/api"
)

// partOf returns a part with organisations of the given names.
func partOf(names ...string) []byte {
	var list []string
	for _, n := range names {
		list = append(list, fmt.Sprintf(`{"metadata":{"name":%q},"spec":{"apiKeyHashes":[%q],"tiers":["desk"]}}`, n, HashAPIKey(n)))
	}
	return []byte(`{"organisations":[` + strings.Join(list, ",") + `]}`)
}

// withParts returns the example document with references to parts, and the parts by hash.
func withParts(t *testing.T, parts ...[]byte) (content []byte, contents Parts) {
	contents = Parts{}
	var refs []string
	for i, p := range parts {
		contents[HashPart(p)] = p
		refs = append(refs, fmt.Sprintf(`{"key":"part-%d","sha256":%q}`, i, HashPart(p)))
	}
	text := strings.Replace(example(t), "{", `{"parts":[`+strings.Join(refs, ",")+`],`, 1)
	return []byte(text), contents
}

func TestAcceptAddsOrganisationsOfParts(t *testing.T) {
	is := is.New(t)
	content, parts := withParts(t, partOf("a", "b"), partOf("c"))
	s, err := Accept(1, content, parts)
	is.NoErr(err)
	is.Equal(len(s.Document.Organisations), 4)
	for _, key := range []string{"foo", "a", "b", "c"} {
		_, ok := s.OrganisationByAPIKey(key)
		is.True(ok)
	}
	is.Equal(len(s.Parts(nil)), 2)
	is.Equal(len(s.Parts(s.PartHashes())), 0)
}

func TestAcceptReportsPathsOfFaultsInParts(t *testing.T) {
	for name, c := range map[string]struct {
		parts [][]byte
		path  string
	}{
		"unknown field":        {[][]byte{partOf("a"), []byte(`{"organisation":[]}`)}, "/parts/1/organisation"},
		"fault in a part":      {[][]byte{partOf("A!")}, "/parts/0/organisations/0/metadata/name"},
		"name in two parts":    {[][]byte{partOf("a"), partOf("a", "b")}, "/parts/1/organisations/0/metadata/name"},
		"name in the document": {[][]byte{partOf("gebremedhin")}, "/parts/0/organisations/0/metadata/name"},
		"part listed twice":    {[][]byte{partOf("a"), partOf("a")}, "/parts/1/sha256"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			content, parts := withParts(t, c.parts...)
			_, err := Accept(1, content, parts)
			var r *RejectedError
			is.True(errors.As(err, &r))
			is.Equal(r.Faults[0].Path, c.path)
		})
	}
}

// A document isn't accepted without all of its parts. A content that doesn't match its hash
// counts as missing.
func TestOfferReportsMissingParts(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	content, parts := withParts(t, partOf("a"), partOf("b"))
	hash := HashPart(partOf("b"))
	good := parts[hash]
	parts[hash] = partOf("forged")
	accepted, err := h.Offer(time.Now(), 1, content, parts)
	var missing *MissingPartsError
	is.True(errors.As(err, &missing))
	is.True(!accepted)
	is.Equal(missing.References, []api.PartReference{{Key: "part-1", SHA256: hash}})
	parts[hash] = good
	accepted, err = h.Offer(time.Now(), 1, content, parts)
	is.NoErr(err)
	is.True(accepted)
	// The next revision needs only the new part.
	next, all := withParts(t, partOf("a"), partOf("c"))
	delete(all, HashPart(partOf("a")))
	accepted, err = h.Offer(time.Now(), 2, next, all)
	is.NoErr(err)
	is.True(accepted)
}
