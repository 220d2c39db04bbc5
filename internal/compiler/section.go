package compiler

import (
	"crypto/sha256"
	"encoding/hex"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/decoder"
)

// SectionFormat is the format number of an encoded section.
const SectionFormat = 1

// MaxSectionBytes limits the size of an encoded section; the platform accepts values of up to 1 MB.
const MaxSectionBytes = 1 << 20

// Section is one client account's part of a view.
type Section struct {
	Format   int       `msgpack:"f"`
	Account  Account   `msgpack:"a"`
	Services []Service `msgpack:"s"`
}

// Entry identifies one section of a view.
type Entry struct {
	Account string `json:"account" msgpack:"a"`
	Digest  string `json:"digest"  msgpack:"d"`
}

// Sections encodes the section of each account and returns the manifest and the encoded sections by digest. The error
// is CodeSourceReference for an unknown service and CodeSourceTooLarge for a section over MaxSectionBytes.
func Sections(view *View) ([]Entry, map[string][]byte, error) {
	manifest := make([]Entry, 0, len(view.Accounts))
	bodies := make(map[string][]byte, len(view.Accounts))
	for i := range view.Accounts {
		account := &view.Accounts[i]
		body, err := encodeSection(view, account)
		if err != nil {
			return nil, nil, err
		}
		digest := DigestOf(body)
		manifest = append(manifest, Entry{Account: account.Name, Digest: digest})
		bodies[digest] = body
	}
	return manifest, bodies, nil
}

func encodeSection(view *View, account *Account) ([]byte, error) {
	section := Section{Format: SectionFormat, Account: *account}
	for _, name := range account.Services {
		service := view.Service(name)
		if service == nil {
			return nil, classifier.New(classifier.CodeSourceReference, account.Name, "service %q does not exist", name)
		}
		section.Services = append(section.Services, *service)
	}
	body, err := msgpack.Marshal(&section)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodeViewFormat, account.Name, err)
	}
	if len(body) > MaxSectionBytes {
		return nil, classifier.New(classifier.CodeSourceTooLarge, account.Name, "section has %d bytes, the limit is %d",
			len(body), MaxSectionBytes)
	}
	return body, nil
}

// DecodeSection decodes one section. The error is CodeViewFormat for a malformed body or an unknown format.
func DecodeSection(body []byte) (Section, error) {
	var section Section
	if err := decoder.Unmarshal(body, &section); err != nil {
		return section, classifier.Wrap(classifier.CodeViewFormat, "section", err)
	}
	if section.Format != SectionFormat {
		return section, classifier.New(classifier.CodeViewFormat, "section", "format is %d, not %d",
			section.Format, SectionFormat)
	}
	return section, nil
}

// Assemble builds a view from its manifest and its encoded sections by digest, and verifies each digest. The error is
// CodeObjectMissing, with the digest as its Subject, if a section is missing.
func Assemble(version uint64, manifest []Entry, bodies map[string][]byte) (View, error) {
	view := View{
		Version: version, Digest: ManifestDigest(manifest),
		Services: []Service{}, Accounts: make([]Account, 0, len(manifest)),
	}
	services := make(map[string]Service)
	for i, entry := range manifest {
		body, ok := bodies[entry.Digest]
		if !ok {
			return View{}, classifier.New(classifier.CodeObjectMissing, entry.Digest, "section of %s is missing", entry.Account)
		}
		if DigestOf(body) != entry.Digest {
			return View{}, classifier.New(classifier.CodeViewDigest, entry.Account, "section does not match its digest")
		}
		section, err := DecodeSection(body)
		if err != nil {
			return View{}, err
		}
		if section.Account.Name != entry.Account || (i > 0 && manifest[i-1].Account >= entry.Account) {
			return View{}, classifier.New(classifier.CodeViewDigest, entry.Account, "manifest does not match its sections")
		}
		view.Accounts = append(view.Accounts, section.Account)
		for _, service := range section.Services {
			if first, ok := services[service.Name]; ok && !reflect.DeepEqual(first, service) {
				return View{}, classifier.New(classifier.CodeViewDigest, entry.Account, "service %q differs", service.Name)
			}
			services[service.Name] = service
		}
	}
	for _, name := range sortedKeys(services) {
		view.Services = append(view.Services, services[name])
	}
	return view, nil
}

// ManifestDigest returns the digest of the view that has the given manifest.
func ManifestDigest(manifest []Entry) string {
	if manifest == nil {
		manifest = []Entry{} // nil and empty have different encodings
	}
	// Marshal cannot fail here: an entry consists of two strings.
	body, _ := msgpack.Marshal(manifest)
	return DigestOf(body)
}

// DigestOf returns the SHA-256 of body in hexadecimal.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
