package runner

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/rollouter"
	"github.com/jasmineproxy/jasmineproxy/internal/subscriber"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// orderOptions returns the options by which the subscriber follows the orders of roll-outs; nil without roll-outs.
func (n *Hosted) orderOptions() *subscriber.OrderOptions {
	if n.settings.Hosted.Exposure == 0 {
		return nil
	}
	return &subscriber.OrderOptions{Kind: n.protocol.OrderKind, OnChange: n.setOrders}
}

// addRollouts creates the gate, which decides what the upstream of this node may run, and the conductor, which moves
// services to other versions on the node that is responsible for it.
func (n *Hosted) addRollouts(platform connector.Platform) {
	if n.settings.Hosted.Exposure == 0 {
		return
	}
	n.gate = rollouter.NewGate(rollouter.GateOptions{
		Service: n.settings.Service, Incarnation: n.tracker.Self().Incarnation, Clock: n.dependencies.Clock,
		Logger: n.loggerFor("rollouter"), Upstream: n.upstreamState, Alone: n.aloneWithVersion,
		OnChange: n.refreshAdmission,
	})
	n.conductor = rollouter.NewConductor(rollouter.Options{
		Name: n.settings.Name, Share: n.settings.Hosted.Exposure, Directory: n.tracker, Caller: n.client,
		Clock: n.dependencies.Clock, Settled: n.settler.Settled,
		Logger: n.loggerFor("rollouter"),
		Write: func(ctx context.Context, order *rollouter.Order, status *rollouter.Status) error {
			return n.writeStatus(ctx, platform, order, status)
		},
	})
}

// rollout returns the gate for the host handler, or nil.
func (n *Hosted) rollout() forwarder.Rollout {
	if n.gate == nil {
		return nil
	}
	return n.gate
}

func (n *Hosted) upstreamState() rollouter.Upstream {
	state, load := n.registrar.Current(), n.queue.Load()
	return rollouter.Upstream{
		Version: state.Version, Healthy: state.Ready && !n.leaving.Load(), WarmAt: state.ColdStartEnd,
		Working: load.Running + load.Queued,
	}
}

// aloneWithVersion reports whether no member of the service, of any health, has another version. A node that does not
// know the mesh yet cannot tell.
func (n *Hosted) aloneWithVersion(version string) bool {
	if !n.settler.Settled() || !n.seeder.merged() {
		return false
	}
	for _, member := range n.tracker.Service(n.settings.Service) {
		if member.Version != version && member.Version != "" {
			return false
		}
	}
	return true
}

// setOrders passes the orders of all services on. One that is not valid is logged and left out.
func (n *Hosted) setOrders(objects []connector.Object) {
	orders := make(map[string]*rollouter.Order, len(objects))
	for i := range objects {
		order, err := n.protocol.DecodeOrder(&objects[i])
		if err != nil {
			n.logger.Warn("node: order of a roll-out is not valid", zap.String("name", objects[i].Name), zap.Error(err))
			continue
		}
		if order.Service != "" {
			orders[order.Service] = order
		}
	}
	n.conductor.SetOrders(orders)
	n.gate.SetOrder(orders[n.settings.Service])
}

func (n *Hosted) writeStatus(
	ctx context.Context, platform connector.Platform, order *rollouter.Order, status *rollouter.Status,
) error {
	writer, ok := platform.(connector.StatusWriter)
	if !ok {
		return classifier.New(classifier.CodeUnavailable, n.protocol.OrderKind, "the platform keeps no status")
	}
	value, err := n.protocol.EncodeStatus(status)
	if err != nil {
		return err
	}
	_, err = writer.PutStatus(ctx, connector.Object{
		Kind: n.protocol.OrderKind, Name: order.Name, Era: order.Era, Revision: order.Change, Status: value,
	})
	return err
}

// refreshAdmission announces the state of the upstream again if a roll-out has changed it.
func (n *Hosted) refreshAdmission() {
	if n.gate == nil || n.leaving.Load() {
		return
	}
	admission, self := n.gate.Admission(), n.tracker.Self()
	open := self.State == tracker.StateReady
	if state := n.registrar.Current(); state.Ready && (admission.Open != open || admission.Weight != self.Weight) {
		n.announce(state)
	}
}

// conductRollouts conducts roll-outs until ctx ends.
func (n *Hosted) conductRollouts(ctx context.Context) error {
	if n.conductor == nil {
		<-ctx.Done()
		return nil
	}
	return n.conductor.Run(ctx)
}

func (n *Hosted) addRolloutMetrics() {
	if n.gate == nil {
		return
	}
	n.meter.Function("rollouts_running", func() int64 {
		running := int64(0)
		for _, order := range n.conductor.Orders() {
			if order.Running() {
				running++
			}
		}
		return running
	})
	n.meter.Function("rollouts_conducted", func() int64 { return int64(len(n.conductor.Progress())) })
	n.meter.Function("rollout_upstream_open", func() int64 {
		if n.gate.Open() {
			return 1
		}
		return 0
	})
}

// adminHandler serves the metrics, and the state of roll-outs as JSON.
func (n *Hosted) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.meter)
	mux.HandleFunc("POST /v1/explain", n.explain)
	if n.conductor == nil {
		return mux
	}
	mux.HandleFunc("GET /v1/rollouts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, n.conductor.Overview())
	})
	return mux
}
