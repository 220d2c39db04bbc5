package administrator

import (
	"context"
	"math"
	"net/http"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Rendered is the answer of render: a view, or one source.
type Rendered struct {
	View   *compiler.View `json:"view,omitempty"`
	Source *Source        `json:"source,omitempty"`
}

// Source is a source as its author wrote it. Revision is the base for the next edit.
type Source struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// Diff is the answer of diff.
type Diff struct {
	From        uint64                `json:"from"`
	To          uint64                `json:"to"`
	Differences []compiler.Difference `json:"differences"`
}

func (a *Administrator) render(w http.ResponseWriter, r *http.Request, p Principal) error {
	query := r.URL.Query()
	if err := checkQuery(query, "version", "source"); err != nil {
		return err
	}
	if name := query.Get("source"); name != "" {
		source, err := a.readSource(r, p, name)
		if err != nil {
			return err
		}
		writeJSON(w, http.StatusOK, Rendered{Source: source})
		return nil
	}
	version, err := number(query, "version", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	view, err := a.version(r.Context(), version)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, Rendered{View: visible(view, p)})
	return nil
}

func (a *Administrator) diff(w http.ResponseWriter, r *http.Request, p Principal) error {
	query := r.URL.Query()
	if err := checkQuery(query, "from", "to"); err != nil {
		return err
	}
	if query.Get("from") == "" {
		return malformed("from", "the query needs a version to compare with")
	}
	from, err := number(query, "from", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	to, err := number(query, "to", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	before, err := a.version(r.Context(), from)
	if err != nil {
		return err
	}
	after, err := a.version(r.Context(), to)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, Diff{
		From: before.Version, To: after.Version,
		Differences: compiler.Diff(visible(before, p), visible(after, p)),
	})
	return nil
}

// version returns the view of a version; 0 is the one in force on this node. Others are read from the platform.
func (a *Administrator) version(ctx context.Context, version uint64) (*compiler.View, error) {
	active := a.options.Views.Active()
	switch {
	case active == nil:
		return nil, classifier.New(classifier.CodeNotReady, a.options.Node.Name, "the node has no configuration in force")
	case version == 0 || version == active.Version:
		return active, nil
	}
	view, err := a.options.Publisher.Version(ctx, version)
	if err != nil {
		return nil, err
	}
	return &view, nil
}

// visible returns the part of a view that the principal may see.
func visible(view *compiler.View, p Principal) *compiler.View {
	if p.Operator {
		return view
	}
	part := &compiler.View{Version: view.Version, Digest: view.Digest}
	account := view.Account(p.Account)
	if account == nil {
		return part
	}
	part.Accounts = []compiler.Account{*account}
	for _, service := range view.Services {
		if slices.Contains(account.Services, service.Name) {
			part.Services = append(part.Services, service)
		}
	}
	return part
}
