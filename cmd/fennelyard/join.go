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
	"fennelyard/internal/metrics"
	"fennelyard/internal/role"
	"fennelyard/internal/schema"
	"fennelyard/platform"
)

const (
	settingsVariable = "FENNELYARD_SETTINGS"
	// memoryShare of the host's memory is what the collector keeps the heap
	// under; the rest is for stacks and buffers of the system.
	memoryShare       = 0.6
	metricsHeaderWait = 5 * time.Second
	verbosity         = 0
)

// hostRole is what a host runs.
type hostRole interface {
	Drain(context.Context)
	Failed() <-chan struct{}
	Err() error
}

func newJoin() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "join [--settings FILE]",
		Short: "Run a host that finds the others through seeds",
		Long: `join runs an entry or a control host, by the addresses in its settings. Hosts
find each other through a few control hosts, the seeds. SIGHUP reads the settings
again; SIGTERM and SIGINT drain: nothing in flight is cut off.`,
		Example: "  fennelyard join --settings /etc/fennelyard/node.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			if file == "" {
				return errors.Newf("neither --settings nor %s is given: %w", settingsVariable, errUsage)
			}
			return join(c, file)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of this host; default: what "+settingsVariable+" names")
	return c
}

func join(c *cobra.Command, file string) error {
	// Before anything else: until somebody listens for it, the signal that asks
	// for new settings ends the process.
	reload := reloads()
	s, err := role.LoadSettings(file)
	if err != nil {
		return err
	}
	book := asynclog.New(c.OutOrStdout())
	defer book.Close()
	log := book.StateChanges(verbosity).WithValues("host", s.Get().GetHost())
	if mb := s.Get().GetMemoryMb(); mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryShare * (1 << 20)))
	}
	set := metrics.New()
	set.Gauge("log_lines_dropped", "Log lines that were dropped.", func() float64 { return float64(book.Dropped()) })
	p, err := awaitRoom(c.Context(), log, func() (hostRole, error) {
		return start(s, set, log, book.Requests(verbosity).WithValues("host", s.Get().GetHost()))
	})
	if err != nil {
		log.Error(err, "not started")
		return err
	}
	scrape, err := serveMetrics(s.Get(), set, log)
	if err != nil {
		p.Drain(canceled())
		return err
	}
	defer func() { _ = scrape.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	go s.Watch(log, reload, stop)
	now := s.Get()
	log.Info("started", "version", version, "data-centre", now.GetDataCentre(), "seeds", now.GetSeeds(),
		"founding", now.GetFounding(), "counted", now.GetCounted())
	select {
	case <-c.Context().Done():
	case <-p.Failed():
		log.Error(p.Err(), "ended")
		return errors.Newf("control role ended: %w", p.Err())
	}
	log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), now.GetStopLimit().AsDuration())
	defer cancel()
	p.Drain(ctx)
	log.Info("stopped")
	return nil
}

func start(s *role.Settings, set *metrics.Set, log, requests logr.Logger) (hostRole, error) {
	if s.Get().GetOperatorAddress() != "" {
		c, err := role.NewControl(role.ControlConfig{
			Settings: s, Engines: platform.Engines(), Handler: platform.Operators, Metrics: set, Log: log,
		})
		if err != nil {
			return nil, errors.Newf("start control host: %w", err)
		}
		return c, nil
	}
	e, err := role.NewEntry(role.EntryConfig{
		Settings: s, Codec: platform.Codec(), Ready: platform.Ready, Directory: platform.Directory, Metrics: set,
		Log: log, RequestLog: requests,
	})
	if err != nil {
		return nil, errors.Newf("start entry: %w", err)
	}
	return e, nil
}

// roomCheck is how often a host whose disk is full tries to start: whoever makes
// room has it back within a moment.
const roomCheck = time.Second

// awaitRoom starts a host, and waits where its disk takes no more bytes: ending
// instead would have it started again several times a second, and each start
// would look like another failure.
func awaitRoom(ctx context.Context, log logr.Logger, start func() (hostRole, error)) (hostRole, error) {
	for first := true; ; first = false {
		p, err := start()
		if err == nil || !errors.Is(err, syscall.ENOSPC) {
			return p, err
		}
		if first {
			log.Info("waiting for room on the disk", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(roomCheck):
		}
	}
}

// reloads returns the signals that ask for the settings to be read again.
func reloads() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func serveMetrics(s *schema.JoinSettings, set *metrics.Set, log logr.Logger) (*http.Server, error) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", set.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderWait}
	if s.GetMetricsPort() == 0 {
		return server, nil
	}
	l, err := net.Listen("tcp", net.JoinHostPort(s.GetIp(), strconv.Itoa(int(s.GetMetricsPort()))))
	if err != nil {
		return nil, errors.Newf("listen for metrics: %w", err)
	}
	go func() {
		// It ends with the process.
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "metrics no longer served")
		}
	}()
	return server, nil
}
