package role

import (
	"github.com/go-logr/logr"

	"fennelyard/internal/listener"
	"fennelyard/internal/metrics"
	"fennelyard/internal/schema"
)

// NewConnections returns what the connections that a process has accepted may take by its settings.
func NewConnections(s *schema.JoinSettings, set *metrics.Set, log logr.Logger) *listener.Budget {
	b := listener.NewBudget(listener.BudgetConfig{
		Descriptors: int(s.GetMaxDescriptors()), MemoryBytes: int64(s.GetMemoryMb() * (1 << 20)),
		OnClosed: func(p listener.Port, r listener.Reason) { set.ConnectionClosed(p.String(), r.String()) }, Log: log.WithName("listener"),
	})
	b.RegisterGauges(set.Gauge)
	return b
}
