package ledger

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// maxNameLength bounds every name that an operator gives.
const maxNameLength = 128

// intentFault says why an intent cannot be planned, or nothing. An operator
// must learn it before anything is confirmed.
func (l *Ledger) intentFault(in *schema.Intent) string {
	if why := nameFault("intent", in.GetName()); why != "" {
		return why
	}
	if why := nameFault("customer", in.GetCustomer().GetName()); why != "" {
		return why
	}
	seen := map[string]bool{}
	for _, t := range targetsOf(in) {
		if why := nameFault("target", t); why != "" {
			return why
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
		if why := l.modelFault(in, m); why != "" {
			return why
		}
	}
	return l.serviceFault(in)
}

func nameFault(what, name string) string {
	if name == "" {
		return what + " name is missing"
	}
	if len(name) > maxNameLength || strings.ContainsAny(name, "/ \t\r\n\x00") {
		return fmt.Sprintf("%s name %q: at most %d characters, without spaces and slashes", what, name, maxNameLength)
	}
	return ""
}

func (l *Ledger) modelFault(in *schema.Intent, m *schema.Model) string {
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
	if why := l.baseFault(in, m); why != "" {
		return why
	}
	if largest := l.largestAccelerator(); largest > 0 && m.GetMemoryMib() > largest {
		return fmt.Sprintf("%q needs %d MiB; the largest accelerator has %d MiB", name, m.GetMemoryMib(), largest)
	}
	return l.conflictFault(in, m)
}

func (l *Ledger) baseFault(in *schema.Intent, m *schema.Model) string {
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

// conflictFault keeps two intents from giving one name two meanings.
func (l *Ledger) conflictFault(in *schema.Intent, m *schema.Model) string {
	for other := range l.definers[m.GetName()] {
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

func (l *Ledger) serviceFault(in *schema.Intent) string {
	for _, s := range in.GetServices() {
		if l.records.Model(s.GetName()) != nil {
			return fmt.Sprintf("%q is a model already", s.GetName())
		}
	}
	return ""
}
