package administrator

import (
	"context"
	"math"
	"net/http"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Rendered is the response to GET /v1/render: a view or a source.
type Rendered struct {
	View   *compiler.View `json:"view,omitempty"`
	Source *Source        `json:"source,omitempty"`
}

// Source is a source in the form its author submitted. Revision is the base revision for the next edit.
type Source struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// Diff is the response to GET /v1/diff: the differences between the configuration versions From and To.
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
	version, err := queryNumber(query, "version", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	view, err := a.viewOf(r.Context(), version)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, Rendered{View: visibleView(view, p)})
	return nil
}

func (a *Administrator) diff(w http.ResponseWriter, r *http.Request, p Principal) error {
	query := r.URL.Query()
	if err := checkQuery(query, "from", "to"); err != nil {
		return err
	}
	if query.Get("from") == "" {
		return badRequest("from", "the query needs a version to compare with")
	}
	from, err := queryNumber(query, "from", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	to, err := queryNumber(query, "to", 0, math.MaxUint64)
	if err != nil {
		return err
	}
	before, err := a.viewOf(r.Context(), from)
	if err != nil {
		return err
	}
	after, err := a.viewOf(r.Context(), to)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, Diff{
		From: before.Version, To: after.Version,
		Differences: compiler.Diff(visibleView(before, p), visibleView(after, p)),
	})
	return nil
}

// viewOf returns the view of a version; 0 selects the version active on this node. Other versions are read from the
// platform.
func (a *Administrator) viewOf(ctx context.Context, version uint64) (*compiler.View, error) {
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

// visibleView returns the part of a view that the principal may see. An account sees itself and its services.
func visibleView(view *compiler.View, p Principal) *compiler.View {
	if p.Operator {
		return view
	}
	filtered := &compiler.View{Version: view.Version, Digest: view.Digest}
	account := view.Account(p.Account)
	if account == nil {
		return filtered
	}
	filtered.Accounts = []compiler.Account{*account}
	for _, service := range view.Services {
		if slices.Contains(account.Services, service.Name) {
			filtered.Services = append(filtered.Services, service)
		}
	}
	return filtered
}
