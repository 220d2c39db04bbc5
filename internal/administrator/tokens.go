package administrator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// Grant is the request body for a new token. The client generates the token and sends only its digest.
type Grant struct {
	Digest  string `json:"digest"`
	Name    string `json:"name"`
	Account string `json:"account,omitempty"` // empty for an operator
}

// Issued is a stored token with its digest.
type Issued struct {
	Digest string `json:"digest"`
	Token
}

func (a *Administrator) createToken(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := p.requireOperator("token"); err != nil {
		return err
	}
	var grant Grant
	if err := decodeBody(w, r, &grant); err != nil {
		return err
	}
	if !digestPattern.MatchString(grant.Digest) {
		return badRequest("digest", "the value must be a SHA-256 digest of 64 hexadecimal digits in lower case")
	}
	token := Token{
		Format: tokenFormat, Name: grant.Name, Account: grant.Account, Author: p.actor(), Created: a.options.Clock.Now(),
	}
	if err := token.validate(); err != nil {
		return err
	}
	content, err := json.Marshal(token)
	if err != nil {
		return err
	}
	object := connector.Object{Kind: connector.KindToken, Name: grant.Digest, Value: content}
	if _, err := a.options.Platform.Put(r.Context(), object); err != nil {
		return err
	}
	holder := token.principal()
	a.trail.recordChange(r.Context(), p, auditor.Entry{
		Action: "create token", Subject: holder.actor(), Reason: "digest " + grant.Digest,
	})
	writeJSON(w, http.StatusCreated, Issued{Digest: grant.Digest, Token: token})
	return nil
}

func (a *Administrator) revokeToken(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := p.requireOperator("token"); err != nil {
		return err
	}
	if err := checkQuery(r.URL.Query(), "digest"); err != nil {
		return err
	}
	digest := r.URL.Query().Get("digest")
	if !digestPattern.MatchString(digest) {
		return badRequest("digest", "the value must be a SHA-256 digest of 64 hexadecimal digits in lower case")
	}
	object, err := a.options.Platform.Get(r.Context(), connector.KindToken, digest)
	if err != nil {
		return err
	}
	if err := a.options.Platform.Delete(r.Context(), connector.KindToken, digest, object.Revision); err != nil {
		return err
	}
	a.authenticator.forget(digest)
	subject := "unreadable token"
	if token, err := decodeToken(object.Value); err == nil {
		holder := token.principal()
		subject = holder.actor()
	}
	a.trail.recordChange(r.Context(), p, auditor.Entry{
		Action: "revoke token", Subject: subject, Reason: "digest " + digest,
	})
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (a *Administrator) listTokens(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := p.requireOperator("token"); err != nil {
		return err
	}
	snapshot, err := a.options.Platform.List(r.Context(), connector.KindToken)
	if err != nil {
		return err
	}
	list := make([]Issued, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		token, err := decodeToken(object.Value)
		if err != nil {
			token = Token{Name: fmt.Sprintf("unreadable, code %d", classifier.CodeOf(err))}
		}
		list = append(list, Issued{Digest: object.Name, Token: token})
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
