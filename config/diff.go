package config

import (
	"fmt"
	"strings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind
	// Subject names the object that changed, such as `organisation "decatur"`.
	Subject string
	// Field, Old and New are set only if Kind is Changed.
	Field    string
	Old, New string
}

// String formats the change as one line.
func (c Change) String() string {
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s", c.Subject, c.Kind)
	}
	return fmt.Sprintf("%s: %s changed from %s to %s", c.Subject, c.Field, displayValue(c.Old), displayValue(c.New))
}

// displayValue returns a field's value, or a word for the empty value.
func displayValue(value string) string {
	if value == "" {
		return "nothing"
	}
	return value
}

// Diff returns the differences between two configurations: the fleet's name,
// then the services, then the organisations, both sorted by name.
func Diff(before, after *Config) []Change {
	before, after = before.canonical(), after.canonical()
	var changes []Change
	if before.Fleet != after.Fleet {
		changes = append(changes, Change{Changed, "fleet", "name", before.Fleet, after.Fleet})
	}
	changes = append(changes, diffLists("service", before.Services, after.Services, serviceName, serviceFields)...)
	return append(changes, diffLists("organisation", before.Organisations, after.Organisations,
		organisationName, organisationFields)...)
}

// field is a configuration field with its value as text.
type field struct{ name, value string }

func serviceName(s *Service) string           { return s.Name }
func organisationName(o *Organisation) string { return o.Name }

// serviceFields returns the fields of a service that Diff compares.
func serviceFields(s *Service) []field {
	return []field{
		{"kind", string(s.Kind)},
		{"model", s.Model},
		{"prefix", s.Prefix},
		{"slots", fmt.Sprint(s.Slots)},
		{"max_wait", s.MaxWait.String()},
		{"silent_after", s.SilentAfter.String()},
		{"checks_fencing", fmt.Sprint(s.ChecksFencing)},
		{"load", strings.Join(s.Load, ", ")},
		{"continues", fmt.Sprint(s.Continues)},
		{"idempotent", fmt.Sprint(s.Idempotent)},
		{"once", formatOnceRules(s.Once)},
		{"first_token", s.Objectives.FirstToken.String()},
		{"token_gap", s.Objectives.TokenGap.String()},
		{"answer", s.Objectives.Answer.String()},
		{"target", fmt.Sprint(s.Objectives.Target)},
	}
}

// formatOnceRules formats the once rules of a service as one line.
func formatOnceRules(rules []Once) string {
	texts := make([]string, len(rules))
	for i, rule := range rules {
		texts[i] = rule.Method + " " + rule.Path
		if rule.Why != "" {
			texts[i] += " (" + rule.Why + ")"
		}
	}
	return strings.Join(texts, ", ")
}

// organisationFields returns the fields of an organisation that Diff compares.
func organisationFields(o *Organisation) []field {
	return []field{
		{"share", fmt.Sprint(o.Share)},
		{"keys", strings.Join(o.Keys, ", ")},
		{"services", strings.Join(o.Services, ", ")},
		{"max_queued", fmt.Sprint(o.MaxQueued)},
	}
}

// diffLists merges two lists that are sorted by name and returns their
// differences.
func diffLists[T any](kind string, before, after []T, name func(*T) string, fields func(*T) []field) []Change {
	var changes []Change
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || i < len(before) && name(&before[i]) < name(&after[j]):
			changes = append(changes, Change{Kind: Removed, Subject: formatSubject(kind, name(&before[i]))})
			i++
		case i == len(before) || name(&after[j]) < name(&before[i]):
			changes = append(changes, Change{Kind: Added, Subject: formatSubject(kind, name(&after[j]))})
			j++
		default:
			changes = append(changes, diffFields(formatSubject(kind, name(&after[j])), fields(&before[i]), fields(&after[j]))...)
			i++
			j++
		}
	}
	return changes
}

// formatSubject returns the Subject of a change.
func formatSubject(kind, name string) string { return fmt.Sprintf("%s %q", kind, name) }

// diffFields returns a change for each field whose value differs.
func diffFields(subject string, before, after []field) []Change {
	var changes []Change
	for i := range before {
		if before[i] != after[i] {
			changes = append(changes, Change{Changed, subject, before[i].name, before[i].value, after[i].value})
		}
	}
	return changes
}
