package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/tacktally/tacktally/api"
)

// maxParts is the maximum number of parts of a document.
const maxParts = 256

// Parts are the contents of parts, by their SHA-256 hash in lower-case hex.
type Parts map[string][]byte

// HashPart returns the hash by which a document refers to a part.
func HashPart(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// MissingPartsError is the error for a document whose parts are incomplete. Fetch the
// parts and offer the document again.
type MissingPartsError struct {
	References []api.PartReference
}

// Error implements error.
func (e *MissingPartsError) Error() string {
	keys := make([]string, len(e.References))
	for i, r := range e.References {
		keys[i] = r.Key
	}
	return "parts are missing: " + strings.Join(keys, ", ") + "; publish parts before the document that refers to them, and never reuse their keys"
}

// part is a decoded part. It is immutable.
type part struct {
	content       []byte
	organisations []api.Organisation
}

// resolveParts returns the parts of a document by hash, from those already decoded and from the
// given contents. A content that doesn't match its hash counts as missing.
func resolveParts(doc *api.Document, contents Parts, known map[string]*part) (map[string]*part, error) {
	resolved := make(map[string]*part, len(doc.Parts))
	missing := &MissingPartsError{}
	for i, r := range doc.Parts {
		if p := known[r.SHA256]; p != nil {
			resolved[r.SHA256] = p
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
		resolved[r.SHA256] = &part{content: content, organisations: p.Organisations}
	}
	if len(missing.References) > 0 {
		return nil, missing
	}
	return resolved, nil
}

// partReferences checks the references of a document to its parts.
func (v *validator) partReferences(refs []api.PartReference) {
	if len(refs) > maxParts {
		v.add("/parts", "has %d parts; use at most %d", len(refs), maxParts)
	}
	seen := map[string]bool{}
	for i, r := range refs {
		at := fmt.Sprintf("/parts/%d", i)
		if r.Key == "" || strings.ContainsAny(r.Key, "/?#") {
			v.add(at+"/key", "%q is not a valid key; use letters, digits, - and .", r.Key)
		}
		if !isHash(r.SHA256) {
			v.add(at+"/sha256", "is not a SHA-256 hash; give 64 lower-case hex digits")
		}
		if seen[r.SHA256] {
			v.add(at+"/sha256", "is listed twice; name each part once")
		}
		seen[r.SHA256] = true
	}
}
