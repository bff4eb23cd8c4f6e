package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/tacktally/tacktally/api"
)

// maxParts bounds the parts of a document.
const maxParts = 256

// Parts are the contents of parts, by their SHA-256 sum in lower-case hex.
type Parts map[string][]byte

// HashPart returns the sum by which a document refers to a part.
func HashPart(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// MissingPartsError: the document refers to parts that aren't at hand yet. Fetch
// them and offer the document again.
type MissingPartsError struct {
	References []api.PartReference
}

// Error implements error.
func (e *MissingPartsError) Error() string {
	keys := make([]string, len(e.References))
	for i, r := range e.References {
		keys[i] = r.Key
	}
	return "parts not at hand: " + strings.Join(keys, ", ") + "; publish parts before the document that names them, and never under the same key again"
}

// part is a decoded part. It is not changed once decoded.
type part struct {
	content       []byte
	organisations []api.Organisation
}

// resolveParts finds the parts of a document: those decoded before, and new ones among
// the contents. A content that doesn't have the sum counts as missing.
func resolveParts(doc *api.Document, contents Parts, known map[string]*part) (map[string]*part, error) {
	taken := make(map[string]*part, len(doc.Parts))
	missing := &MissingPartsError{}
	for i, r := range doc.Parts {
		if p := known[r.SHA256]; p != nil {
			taken[r.SHA256] = p
			continue
		}
		content, ok := contents[r.SHA256]
		if !ok || HashPart(content) != r.SHA256 {
			missing.References = append(missing.References, r)
			continue
		}
		var p api.Part
		if err := decodeStrict(content, &p); err != nil {
			return nil, err.withPathPrefix(fmt.Sprintf("/parts/%d", i))
		}
		taken[r.SHA256] = &part{content: content, organisations: p.Organisations}
	}
	if len(missing.References) > 0 {
		return nil, missing
	}
	return taken, nil
}

// partReferences checks the references of a document.
func (v *validator) partReferences(refs []api.PartReference) {
	if len(refs) > maxParts {
		v.add("/parts", "has %d parts; use at most %d", len(refs), maxParts)
	}
	seen := map[string]bool{}
	for i, r := range refs {
		at := fmt.Sprintf("/parts/%d", i)
		if r.Key == "" || strings.ContainsAny(r.Key, "/?#") {
			v.add(at+"/key", "%q is no key; use letters, digits, - and .", r.Key)
		}
		if !isHash(r.SHA256) {
			v.add(at+"/sha256", "is no SHA-256 sum; give 64 lower-case hex digits")
		}
		if seen[r.SHA256] {
			v.add(at+"/sha256", "is listed twice; name each part once")
		}
		seen[r.SHA256] = true
	}
}
