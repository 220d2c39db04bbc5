package baseliner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// forwardPath is the path prefix of requests that come from another naive node.
const forwardPath = "/forward"

// maxAttempts is the number of times that the proxy sends a request: once and three retries.
const maxAttempts = 4

// ProxyOptions are the settings of a naive proxy.
type ProxyOptions struct {
	Upstream string              // address of the upstream beside the node
	Slots    int                 // requests that run on the upstream concurrently
	Peers    map[string][]string // peer addresses of all nodes by service
	Service  func(host, method, path string) string
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Timeout  timekeeper.Millis // timeout of each attempt
}

// Proxy is a naive proxy: it picks the nodes of a service by round robin, retries any request three times, and queues
// requests for the upstream in the order of their arrival.
type Proxy struct {
	options ProxyOptions
	next    atomic.Uint64
	slots   chan struct{}
	client  *http.Client
}

// NewProxy returns a naive proxy.
func NewProxy(options ProxyOptions) *Proxy {
	transport := &http.Transport{DialContext: options.Dial, MaxIdleConnsPerHost: 128, DisableCompression: true}
	return &Proxy{options: options, slots: make(chan struct{}, options.Slots), client: &http.Client{Transport: transport}}
}

// Entry returns the handler for requests from callers.
func (p *Proxy) Entry() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		peers := p.options.Peers[p.options.Service(r.Host, r.Method, r.URL.Path)]
		for range maxAttempts {
			if len(peers) == 0 {
				break
			}
			peer := peers[p.next.Add(1)%uint64(len(peers))]
			if p.forward(w, r, "http://"+peer+forwardPath, body) == nil {
				return
			}
		}
		http.Error(w, "no upstream answered", http.StatusBadGateway)
	})
}

// Host returns the handler for requests from other nodes.
func (p *Proxy) Host() http.Handler {
	return http.StripPrefix(forwardPath, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case p.slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		defer func() { <-p.slots }()
		body, err := io.ReadAll(r.Body)
		if err == nil {
			err = p.forward(w, r, "http://"+p.options.Upstream, body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
		}
	}))
}

// forward sends a request to base and copies the response to w. If it fails, it has written nothing to w.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, base string, body []byte) error {
	ctx, cancel := context.WithTimeout(r.Context(), p.options.Timeout.Duration())
	defer cancel()
	target, err := url.Parse(base + r.URL.Path)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header, request.Host = r.Header.Clone(), r.Host
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return &statusError{status: response.Status}
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set("Jasmine-Outcome", "answered")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(content)
	return nil
}

// statusError is a 5xx response, which the proxy retries.
type statusError struct {
	status string
}

// Error returns the HTTP status.
func (e *statusError) Error() string {
	return "unexpected status " + e.status
}
