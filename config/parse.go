package config

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Parse decodes a configuration from its text and checks it. It rejects unknown
// fields, repeated fields, a digest line that does not match the configuration,
// and everything that Check rejects. The error is of type Faults.
func Parse(text []byte) (*Config, error) {
	if len(text) > MaxSize {
		return nil, Faults{sizeFault(len(text))}
	}
	cfg := &Config{}
	faults, complete := decode(text, cfg)
	if complete {
		faults = append(faults, checkWithLines(text, cfg, faults)...)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	cfg = cfg.canonical()
	if err := checkDigest(text, cfg); err != nil {
		return nil, err
	}
	return cfg, nil
}

// decode decodes text, which must be exactly one YAML document, into out. It
// reports in complete whether the document was read to its end, so that out can
// be checked; it may be complete in spite of faults in single fields.
func decode(text []byte, out any) (faults Faults, complete bool) {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(out); err != nil {
		var typeErr *yaml.TypeError
		return yamlFaults(err), errors.As(err, &typeErr)
	}
	var next yaml.Node
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		return Faults{{Line: next.Line, Message: "text after the end of the configuration"}}, false
	}
	return nil, true
}

// checkWithLines returns the faults that Check finds, with their lines, except on
// lines where earlierFaults has a fault already.
func checkWithLines(text []byte, cfg *Config, earlierFaults Faults) Faults {
	var faults Faults
	if !errors.As(cfg.Check(), &faults) {
		return nil
	}
	addLineNumbers(text, faults)
	return slices.DeleteFunc(faults, func(f Fault) bool {
		return slices.ContainsFunc(earlierFaults, func(earlier Fault) bool { return earlier.Line == f.Line })
	})
}

// linePattern matches a message of the YAML decoder that has a line number, and
// fieldPattern the message for an unknown field, without its line number.
var (
	linePattern  = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	fieldPattern = regexp.MustCompile(`^field (\S+) not found in type .*$`)
)

// yamlFaults converts an error of the YAML decoder to faults.
func yamlFaults(err error) Faults {
	if errors.Is(err, io.EOF) {
		return Faults{{Message: "the text is empty"}}
	}
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		return Faults{yamlFault(err.Error())}
	}
	var faults Faults
	for _, message := range typeErr.Errors {
		faults = append(faults, yamlFault(message))
	}
	return faults
}

// yamlFault converts one message of the YAML decoder to a fault: it extracts the
// line and rewords unknown fields, whose messages name Go types.
func yamlFault(message string) Fault {
	match := linePattern.FindStringSubmatch(message)
	if match == nil {
		return Fault{Message: strings.TrimPrefix(message, "yaml: ")}
	}
	line, _ := strconv.Atoi(match[1])
	fault := Fault{Line: line, Message: match[2]}
	if field := fieldPattern.FindStringSubmatch(fault.Message); field != nil {
		fault.Message = fmt.Sprintf("unknown field %q", field[1])
	}
	return fault
}

// checkDigest compares the digest line, if there is one, with the configuration's
// digest.
func checkDigest(text []byte, cfg *Config) error {
	line, declared, ok := findDigestLine(text)
	if !ok {
		return nil
	}
	digest, err := cfg.Digest()
	if err != nil {
		return err
	}
	if declared != digest {
		return Faults{{Line: line, Message: fmt.Sprintf(
			"the digest line says %s, the configuration has %s", declared, digest)}}
	}
	return nil
}

// findDigestLine returns the line number and the digest of the digest line in the
// comment at the start of the text.
func findDigestLine(text []byte) (line int, digest string, ok bool) {
	for len(text) > 0 {
		line++
		current, rest, _ := bytes.Cut(text, []byte("\n"))
		text = rest
		if !bytes.HasPrefix(current, []byte("#")) {
			return 0, "", false
		}
		if after, found := strings.CutPrefix(string(current), digestPrefix); found {
			return line, strings.TrimSpace(after), true
		}
	}
	return 0, "", false
}

// addLineNumbers sets the Line of each fault to the line of its Path in the text.
func addLineNumbers(text []byte, faults Faults) {
	var root yaml.Node
	if yaml.Unmarshal(text, &root) != nil || len(root.Content) == 0 {
		return
	}
	for i := range faults {
		faults[i].Line = lineOfPath(root.Content[0], faults[i].Path)
	}
}

// lineOfPath returns the line of a path such as "services[0].name". If the text
// does not have the path, it returns the line of the innermost node that it has.
func lineOfPath(node *yaml.Node, path string) int {
	for _, key := range strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) }) {
		next := childNode(node, key)
		if next == nil {
			break
		}
		node = next
	}
	return node.Line
}

// childNode returns the value of a mapping's key or the item at a sequence's
// index, or nil if there is none.
func childNode(node *yaml.Node, key string) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(key); err == nil && i < len(node.Content) {
			return node.Content[i]
		}
	}
	return nil
}
