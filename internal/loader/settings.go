// Package loader reads the settings of a node: one YAML file, then the environment, then flags.
package loader

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Settings are the settings of a node. docs/settings.md describes each field.
type Settings struct {
	Name     string   `yaml:"name" validate:"required,name" usage:"name of the node, unique in the mesh"`
	Zone     string   `yaml:"zone" validate:"required,name" usage:"data centre of the node"`
	Service  string   `yaml:"service" validate:"required,name" usage:"service of the upstream beside the node"`
	Slots    int      `yaml:"slots" validate:"min=0,max=10000" usage:"slots of the upstream; 0 takes the service's"`
	Caller   string   `yaml:"caller" validate:"required,endpoint" usage:"address for callers, IP:port"`
	Peer     string   `yaml:"peer" validate:"required,endpoint" usage:"address for other nodes, IP:port"`
	Announce string   `yaml:"announce" validate:"omitempty,endpoint" usage:"peer address that other nodes use"`
	Admin    string   `yaml:"admin" validate:"required,endpoint" usage:"address for administration, IP:port"`
	Upstream Upstream `yaml:"upstream"`
	Platform Platform `yaml:"platform"`
	Seeds    []string `yaml:"seeds" validate:"max=64,unique,dive,endpoint" usage:"peer addresses to join through"`
	Internal string   `yaml:"internal" validate:"omitempty,min=16,max=256,printascii" usage:"secret for internal calls"`
	Operator string   `yaml:"operator" validate:"omitempty,digest" usage:"SHA-256 of an operator token, in hexadecimal"`
	Memory   Memory   `yaml:"memory"`
	Hosted   Hosted   `yaml:"hosted"`
	Body     int64    `yaml:"body" validate:"min=1024,max=67108864" usage:"largest request body, in bytes"`
	// Delay is added to the cost of another data centre when it is compared with the wait in the local one.
	Delay timekeeper.Millis `yaml:"delay" validate:"min=0,max=1000" usage:"one-way delay to other data centres, in ms"`
	Log   string            `yaml:"log" validate:"oneof=debug info warn error" usage:"lowest level that is logged"`
}

// Announced returns the address at which other nodes reach this node.
func (s *Settings) Announced() string {
	if s.Announce != "" {
		return s.Announce
	}
	return s.Peer
}

// Upstream is the server process that runs the requests.
type Upstream struct {
	Address string `yaml:"address" validate:"required,endpoint" usage:"address of the upstream, IP:port"`
	Probe   string `yaml:"probe" validate:"required,startswith=/,max=1024" usage:"path of the upstream's health check"`
}

// Platform is the object API and the limits of the node's calls to it.
type Platform struct {
	URL     string            `yaml:"url" validate:"required,http_url" usage:"base address of the platform"`
	Rate    float64           `yaml:"rate" validate:"gt=0,max=1000" usage:"platform calls per second"`
	Burst   int               `yaml:"burst" validate:"min=1,max=1000" usage:"platform calls that may be made at once"`
	Timeout timekeeper.Millis `yaml:"timeout" validate:"min=100,max=60000" usage:"deadline of one platform call, in ms"`
}

// Hosted are the settings of a hosted node: its platform stores the configuration, and its upstream announces itself
// with heartbeats. Control is empty if the node is not hosted.
type Hosted struct {
	Ready     string  `yaml:"ready" validate:"omitempty,endpoint" usage:"address of the readiness check, IP:port"`
	Control   string  `yaml:"control" validate:"omitempty,endpoint" usage:"address for the upstream's heartbeats, IP:port"`
	Heartbeat float64 `yaml:"heartbeat" validate:"gt=0,max=3600" usage:"time between two heartbeats, in s"`
	Apply     float64 `yaml:"apply" validate:"gt=0,max=3600" usage:"time for a change to be in force everywhere, in s"`
	Grace     float64 `yaml:"grace" validate:"gt=0,max=3600" usage:"time for a planned stop, in s"`
	Retries   float64 `yaml:"retries" validate:"gt=0,max=10" usage:"bound on repeated requests, as a share of all"`
	Memory    float64 `yaml:"memory" validate:"min=0,max=1048576" usage:"memory of the process, in MB; 0 if not known"`
	Hedge     float64 `yaml:"hedge" validate:"min=0,max=1" usage:"share of second attempts of late requests; 0 for none"`
	Files     int     `yaml:"files" validate:"min=0,max=10000000" usage:"descriptors of the process; 0 for its own limit"`
	Link      float64 `yaml:"link" validate:"min=0,max=1000000" usage:"bandwidth of the link in Mbit/s; 0 if not known"`
	Revoke    float64 `yaml:"revoke" validate:"min=0,max=3600" usage:"time to refuse a withdrawn key, in s; 0: none"`
	Closed    bool    `yaml:"closed" usage:"refuse keys while it is not known whether they were withdrawn"`
	Slack     float64 `yaml:"slack" validate:"min=0,max=100000" usage:"requests beyond an allotment in a short time"`
	Exposure  float64 `yaml:"exposure" validate:"min=0,max=1" usage:"share of requests for a version on trial; 0 for none"`
}

// Enabled reports whether the node is hosted.
func (h *Hosted) Enabled() bool {
	return h.Control != ""
}

// Memory limits the memory of a node, in bytes.
type Memory struct {
	Records int64 `yaml:"records" validate:"min=1048576,max=4294967296" usage:"request records and responses, in bytes"`
	Process int64 `yaml:"process" validate:"min=33554432,max=68719476736" usage:"soft limit of the process, in bytes"`
}

// Default returns the default settings. Required fields are empty.
func Default() Settings {
	return Settings{
		Upstream: Upstream{Probe: "/health"},
		// The design limits each node to 5 platform calls per second, and each platform call to 5 s.
		Platform: Platform{Rate: 5, Burst: 10, Timeout: 5 * timekeeper.Second},
		Memory: Memory{
			Records: 64 << 20,
			Process: 256 << 20, // memory target for the control overhead of a node
		},
		// The current deployments use these values: the first three in s, Retries as a share of all requests.
		Hosted: Hosted{Heartbeat: 1.5, Apply: 2, Grace: 6, Retries: 0.2},
		Body:   1 << 20,
		Delay:  4, // data centres are about 4 ms apart
		Log:    "info",
	}
}
