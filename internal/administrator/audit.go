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
	limit, err := queryNumber(r.URL.Query(), "limit", defaultEntries, maxEntries)
	if err != nil {
		return err
	}
	fetchLimit := int(limit)
	if !p.Operator {
		fetchLimit = maxEntries // visibleEntries omits the entries of other accounts
	}
	entries, err := a.options.Auditor.List(r.Context(), fetchLimit)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, visibleEntries(entries, p, int(limit)))
	return nil
}

// visibleEntries returns the entries that the principal may see. An account sees only the actions of its own tokens.
func visibleEntries(entries []auditor.Entry, p Principal, limit int) []auditor.Entry {
	shown := make([]auditor.Entry, 0, min(limit, len(entries)))
	for _, entry := range entries {
		switch {
		case len(shown) >= limit:
		case p.Operator:
			shown = append(shown, entry)
		case p.sharesAccount(entry.Actor):
			newRedactor(p).redactEntry(&entry)
			shown = append(shown, entry)
		}
	}
	return shown
}
