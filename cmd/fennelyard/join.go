package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/listener"
	"fennelyard/internal/metrics"
	"fennelyard/internal/role"
	"fennelyard/internal/schema"
	"fennelyard/platform"
)

const (
	settingsEnvVar = "FENNELYARD_SETTINGS"
	// memoryLimitRatio is the ratio of the Go memory limit to the host's memory. The
	// rest is left for stacks and buffers of the system.
	memoryLimitRatio     = 0.6
	metricsHeaderTimeout = 5 * time.Second
	logVerbosity         = 0
)

// hostRole is the role that a host runs: entry or control host.
type hostRole interface {
	Drain(context.Context)
	Failed() <-chan struct{}
	Err() error
}

func newJoin() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "join [--settings FILE]",
		Short: "Run a host that discovers the others through seeds",
		Long: `join runs an entry or a control host, depending on the addresses in its settings.
Hosts discover each other through a few control hosts, the seeds. SIGHUP reloads
the settings. On SIGTERM or SIGINT the host drains without interrupting requests
in flight.`,
		Example: "  fennelyard join --settings /etc/fennelyard/node.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsEnvVar)
			}
			if file == "" {
				return errors.Newf("neither --settings nor %s is set: %w", settingsEnvVar, errUsage)
			}
			return join(c, file)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of this host; default: the value of "+settingsEnvVar+" in the environment")
	return c
}

func join(c *cobra.Command, file string) error {
	// This comes first, because SIGHUP ends the process until it is caught.
	reload := notifyReload()
	s, err := role.LoadSettings(file)
	if err != nil {
		return err
	}
	logs := asynclog.New(c.OutOrStdout())
	defer logs.Close()
	log := logs.StateChanges(logVerbosity).WithValues("host", s.Get().GetHost())
	limitMemory(s.Get().GetMemoryMb())
	set := metrics.New()
	set.Gauge("log_lines_dropped", "Log lines that were dropped.", func() float64 { return float64(logs.Dropped()) })
	connections := role.NewConnections(s.Get(), set, log)
	h, err := startHostWithDiskSpace(c.Context(), log, func() (hostRole, error) {
		return startHost(s, set, connections, log, logs.Requests(logVerbosity).WithValues("host", s.Get().GetHost()))
	})
	if err != nil {
		log.Error(err, "not started")
		return err
	}
	metricsServer, err := serveMetrics(s.Get(), set, connections)
	if err != nil {
		h.Drain(canceledContext())
		return err
	}
	defer func() { _ = metricsServer.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	go s.Watch(log, reload, stop)
	current := s.Get()
	log.Info("started", "version", version, "data-centre", current.GetDataCentre(), "seeds", current.GetSeeds(),
		"founding", current.GetFounding(), "counted", current.GetCounted())
	select {
	case <-c.Context().Done():
	case <-h.Failed():
		log.Error(h.Err(), "ended")
		return errors.Newf("control role failed: %w", h.Err())
	}
	log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), current.GetStopLimit().AsDuration())
	defer cancel()
	h.Drain(ctx)
	log.Info("stopped")
	return nil
}

// limitMemory sets the limit of the Go runtime by the memory of the process in MB; 0: none.
func limitMemory(mb float64) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb * memoryLimitRatio * (1 << 20)))
	}
}

// startHost starts a control host if the settings have an operator address, and an entry
// otherwise.
func startHost(s *role.Settings, set *metrics.Set, connections *listener.Budget, log, requests logr.Logger) (hostRole, error) {
	if s.Get().GetOperatorAddress() != "" {
		c, err := role.NewControl(role.ControlConfig{
			Settings: s, Engines: platform.Engines(), Handler: platform.Operators, Metrics: set, Log: log, Connections: connections,
		})
		if err != nil {
			return nil, errors.Newf("start control host: %w", err)
		}
		return c, nil
	}
	e, err := role.NewEntry(role.EntryConfig{
		Settings: s, Codec: platform.Codec(), Ready: platform.Ready, Directory: platform.Directory, Metrics: set,
		Log: log, RequestLog: requests, Connections: connections,
	})
	if err != nil {
		return nil, errors.Newf("start entry: %w", err)
	}
	return e, nil
}

// diskSpaceRetryInterval is the time between attempts to start a host whose disk is full. It
// is short, so that the host is back soon after space is freed.
const diskSpaceRetryInterval = time.Second

// startHostWithDiskSpace starts a host, and waits and retries while its disk is full. If the
// process ended instead, its supervisor would restart it several times a second and each
// restart would appear as another failure.
func startHostWithDiskSpace(ctx context.Context, log logr.Logger, start func() (hostRole, error)) (hostRole, error) {
	for first := true; ; first = false {
		h, err := start()
		if err == nil || !errors.Is(err, syscall.ENOSPC) {
			return h, err
		}
		if first {
			log.Info("waiting for room on the disk", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(diskSpaceRetryInterval):
		}
	}
}

// notifyReload returns a channel that receives SIGHUP, which reloads the settings.
func notifyReload() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// canceledContext returns a context that is already canceled.
func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// serveMetrics serves the metrics, unless the settings have no port for them.
func serveMetrics(s *schema.JoinSettings, set *metrics.Set, connections *listener.Budget) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", set.Handler())
	if s.GetMetricsPort() == 0 {
		return &http.Server{ReadHeaderTimeout: metricsHeaderTimeout}, nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(s.GetIp(), strconv.Itoa(int(s.GetMetricsPort()))))
	if err != nil {
		return nil, errors.Newf("listen for metrics: %w", err)
	}
	port := connections.Listen(l, listener.PortConfig{Port: listener.PortMetrics, Share: listener.EntryShares[listener.PortMetrics]})
	server := port.NewServer(listener.ServerConfig{Handler: mux, HeadTimeout: metricsHeaderTimeout})
	// The server runs until the process ends.
	go port.Serve(server)
	return server, nil
}
