package administrator

import (
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
)

const (
	defaultEntries = 50
	maxEntries     = 1000
)

func (a *Administrator) audit(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := checkQuery(r.URL.Query(), "limit"); err != nil {
		return err
	}
	limit, err := number(r.URL.Query(), "limit", defaultEntries, maxEntries)
	if err != nil {
		return err
	}
	read := int(limit)
	if !p.Operator {
		read = maxEntries // entries of others are left out below
	}
	entries, err := a.options.Auditor.List(r.Context(), read)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, visibleEntries(entries, p, int(limit)))
	return nil
}

// visibleEntries returns the entries that the principal may see: an account sees what its own people did.
func visibleEntries(entries []auditor.Entry, p Principal, limit int) []auditor.Entry {
	shown := make([]auditor.Entry, 0, min(limit, len(entries)))
	for _, entry := range entries {
		switch {
		case len(shown) >= limit:
		case p.Operator:
			shown = append(shown, entry)
		case p.wrote(entry.Actor):
			newRedactor(p).entry(&entry)
			shown = append(shown, entry)
		}
	}
	return shown
}
