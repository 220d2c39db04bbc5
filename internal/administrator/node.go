package administrator

import (
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
)

// Health is the response to GET /healthz. The HTTP status is 200 if the node accepts calls and 503 otherwise.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// health serves /healthz without a token, because load balancers and process supervisors have none.
func (a *Administrator) health(w http.ResponseWriter, _ *http.Request) {
	health := Health{Ready: a.options.Views.Ready(), Draining: a.options.Draining()}
	status := http.StatusOK
	if !health.Ready || health.Draining {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, health)
}

// metrics serves metrics to operators only, because the labels name client accounts.
func (a *Administrator) metrics(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := p.requireOperator("metrics"); err != nil {
		return err
	}
	a.options.Metrics.ServeHTTP(w, r)
	return nil
}

// drain starts the planned stop and responds before it ends, because the stop also closes the admin address.
func (a *Administrator) drain(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := p.requireOperator(a.options.Node.Name); err != nil {
		return err
	}
	a.trail.recordChange(r.Context(), p, auditor.Entry{Action: "drain", Subject: a.options.Node.Name})
	a.options.Drain()
	writeJSON(w, http.StatusAccepted, Health{Ready: a.options.Views.Ready(), Draining: true})
	return nil
}
