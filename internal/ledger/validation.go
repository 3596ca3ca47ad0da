package ledger

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// maxNameBytes is the maximum length in bytes of a name set by an operator.
const maxNameBytes = 128

// validateIntent returns why an intent can't be planned, or "". An operator must get the
// reason before anything is confirmed.
func (l *Ledger) validateIntent(in *schema.Intent) string {
	if reason := validateName("intent", in.GetName()); reason != "" {
		return reason
	}
	if reason := validateName("customer", in.GetCustomer().GetName()); reason != "" {
		return reason
	}
	seen := map[string]bool{}
	for _, t := range targetsOf(in) {
		if reason := validateName("target", t); reason != "" {
			return reason
		}
		if seen[t] {
			return fmt.Sprintf("%q is named twice", t)
		}
		seen[t] = true
	}
	if len(seen) == 0 {
		return "the intent names no model, adapter or service"
	}
	for _, m := range modelsOf(in) {
		if reason := l.validateModel(in, m); reason != "" {
			return reason
		}
	}
	return l.validateServices(in)
}

func validateName(kind, name string) string {
	if name == "" {
		return kind + " name is missing"
	}
	if len(name) > maxNameBytes || strings.ContainsAny(name, "/ \t\r\n\x00") {
		return fmt.Sprintf("%s name %q: at most %d characters, without spaces and slashes", kind, name, maxNameBytes)
	}
	return ""
}

func (l *Ledger) validateModel(in *schema.Intent, m *schema.Model) string {
	name := m.GetName()
	switch {
	case m.GetVersion() == "":
		return fmt.Sprintf("%q has no version", name)
	case m.GetMemoryMib() == 0:
		return fmt.Sprintf("%q has no memory-mib", name)
	case m.GetMaxReplicas() == 0:
		return fmt.Sprintf("%q has max-replicas 0: it could never be served", name)
	case m.GetMinReplicas() > m.GetMaxReplicas():
		return fmt.Sprintf("%q has min-replicas %d above max-replicas %d", name, m.GetMinReplicas(), m.GetMaxReplicas())
	case l.records.Service(name) != nil:
		return fmt.Sprintf("%q is a service already", name)
	}
	if reason := l.validateBase(in, m); reason != "" {
		return reason
	}
	if largest := l.largestAccelerator(); largest > 0 && m.GetMemoryMib() > largest {
		return fmt.Sprintf("%q needs %d MiB; the largest accelerator has %d MiB", name, m.GetMemoryMib(), largest)
	}
	return l.validateDefinition(in, m)
}

func (l *Ledger) validateBase(in *schema.Intent, m *schema.Model) string {
	if m.GetBase() == "" {
		return ""
	}
	for _, b := range in.GetModels() {
		if b.GetName() == m.GetBase() {
			return ""
		}
	}
	base := l.records.Model(m.GetBase())
	if base == nil || base.GetBase() != "" {
		return fmt.Sprintf("adapter %q: base %q is not a model", m.GetName(), m.GetBase())
	}
	return ""
}

// validateDefinition returns a reason if another intent defines a name differently.
func (l *Ledger) validateDefinition(in *schema.Intent, m *schema.Model) string {
	for other := range l.intentsByTarget[m.GetName()] {
		if other == in.GetName() {
			continue
		}
		if old := l.records.Model(m.GetName()); old != nil && !proto.Equal(old, m) {
			return fmt.Sprintf("%q is defined otherwise by another intent", m.GetName())
		}
	}
	return ""
}

func (l *Ledger) largestAccelerator() uint64 {
	var largest uint64
	for _, s := range l.records.servers {
		for _, mib := range s.GetAcceleratorMib() {
			largest = max(largest, mib)
		}
	}
	return largest
}

func (l *Ledger) validateServices(in *schema.Intent) string {
	for _, s := range in.GetServices() {
		if l.records.Model(s.GetName()) != nil {
			return fmt.Sprintf("%q is a model already", s.GetName())
		}
	}
	return ""
}
