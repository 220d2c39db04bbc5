package administrator

import (
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// Checked is the response to POST /v1/check. Problems is empty if the change compiles with the current sources.
type Checked struct {
	Problems []compiler.Problem `json:"problems"`
}

// check compiles a change with the current sources and compares base revisions. It stores nothing.
func (a *Administrator) check(w http.ResponseWriter, r *http.Request, p Principal) error {
	change, err := readChange(w, r, p)
	if err != nil {
		return err
	}
	sources, err := a.options.Publisher.Sources(r.Context())
	if err != nil {
		return err
	}
	_, problems := publisher.Check(sources, change.Edits)
	if len(problems) > 0 {
		first := problems[0]
		return &ReplyError{
			Code: first.Code, Subject: first.Object, Field: first.Field, Reason: first.Reason, Problems: problems,
		}
	}
	writeJSON(w, http.StatusOK, Checked{Problems: []compiler.Problem{}})
	return nil
}

// readSource returns the current revision of a source.
func (a *Administrator) readSource(r *http.Request, p Principal, name string) (*Source, error) {
	if !compiler.IsSourceName(name) {
		return nil, badRequest("source", "the value is not the name of a template or a client account")
	}
	if err := p.requireAccess(name); err != nil {
		return nil, err
	}
	sources, err := a.options.Publisher.Sources(r.Context())
	if err != nil {
		return nil, err
	}
	for _, source := range sources {
		if source.Name == name {
			return &Source{Name: name, Revision: source.Revision, Value: string(source.Value)}, nil
		}
	}
	return nil, classifier.New(classifier.CodeObjectMissing, name, "the source does not exist")
}
