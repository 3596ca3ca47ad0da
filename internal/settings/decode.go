package settings

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

const durationFullName = "google.protobuf.Duration"

// document is a decoded file: the line number of each key path and the faults found.
type document struct {
	file   string
	lines  map[string]int
	faults Faults
}

// decode decodes YAML into a message whose JSON names are the keys. All faults
// are collected in the document.
func decode(file string, data []byte, target proto.Message) *document {
	d := &document{file: file, lines: map[string]int{}}
	// decodeMessage reports duplicate keys, together with all other faults.
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addFault(syntaxErrorLine(err), "file", "invalid YAML: "+firstLine(err.Error()), "")
		return d
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		d.addFault(1, "file", "not exactly one YAML document", "write one document")
		return d
	}
	d.decodeMessage("", parsed.Docs[0].Body, target.ProtoReflect())
	return d
}

func syntaxErrorLine(err error) int {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		return syntax.GetToken().Position.Line
	}
	return 1
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

func (d *document) addFault(line int, key, problem, remedy string) {
	d.faults = append(d.faults, Fault{d.file, line, key, problem, remedy})
}

// addKeyFault adds a fault of the key at a path. A key that is not in the file is
// reported at the line of its nearest ancestor that is, or at line 1.
func (d *document) addKeyFault(path, problem, remedy string) {
	ancestor := path
	for ancestor != "" && d.lines[ancestor] == 0 {
		i := strings.LastIndexAny(ancestor, ".[")
		ancestor = ancestor[:max(i, 0)]
	}
	d.addFault(max(d.lines[ancestor], 1), path, problem, remedy)
}

// sortedFaults returns the faults as an error, ordered by line, or nil if there are none.
func (d *document) sortedFaults() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].line < d.faults[j].line })
	return d.faults
}

func (d *document) decodeMessage(path string, node ast.Node, m protoreflect.Message) {
	values, ok := mappingValues(node)
	if !ok {
		d.addFault(lineNumber(node), pathOrDefault(path, "file"), "not a mapping", "write key: value pairs")
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.String()
		keyPath := joinPath(path, key)
		d.lines[keyPath] = lineNumber(v.Key)
		field := m.Descriptor().Fields().ByJSONName(key)
		switch {
		case field == nil:
			d.addFault(lineNumber(v.Key), keyPath, "unknown key", knownKeysHint(m.Descriptor(), key))
		case seen[key]:
			d.addFault(lineNumber(v.Key), keyPath, "duplicate key", "remove one")
		default:
			d.decodeField(keyPath, v.Value, m, field)
		}
		seen[key] = true
	}
}

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (d *document) decodeField(path string, node ast.Node, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	if _, null := node.(*ast.NullNode); null {
		d.addFault(lineNumber(node), path, "no value", "set a value or remove the key")
		return
	}
	if f.IsList() {
		d.decodeList(path, node, m, f)
		return
	}
	if f.Kind() == protoreflect.MessageKind && string(f.Message().FullName()) != durationFullName {
		d.decodeMessage(path, node, m.Mutable(f).Message())
		return
	}
	if v, ok := d.decodeScalar(path, node, f); ok {
		m.Set(f, v)
	}
}

func (d *document) decodeList(path string, node ast.Node, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addFault(lineNumber(node), path, "not a list", "write list items that begin with -")
		return
	}
	list := m.Mutable(f).List()
	for i, item := range seq.Values {
		itemPath := path + "[" + strconv.Itoa(i) + "]"
		d.lines[itemPath] = lineNumber(item)
		if f.Kind() == protoreflect.MessageKind {
			element := list.NewElement()
			d.decodeMessage(itemPath, item, element.Message())
			list.Append(element)
			continue
		}
		if v, ok := d.decodeScalar(itemPath, item, f); ok {
			list.Append(v)
		}
	}
}

func (d *document) decodeScalar(path string, node ast.Node, f protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	text, isString := scalarText(node)
	v, expected, err := parseScalar(f, text, isString)
	if err != nil {
		d.addFault(lineNumber(node), path, fmt.Sprintf("%q is not %s", text, expected), exampleHint(f))
		return protoreflect.Value{}, false
	}
	return v, true
}

func scalarText(node ast.Node) (text string, isString bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return node.String(), false
}

func parseScalar(f protoreflect.FieldDescriptor, text string, isString bool) (protoreflect.Value, string, error) {
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), "a string", nil
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(text)
		if isString || text != "true" && text != "false" {
			err = strconv.ErrSyntax
		}
		return protoreflect.ValueOfBool(b), "true or false", err
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), "a whole number from 0 to 4294967295", err
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(n), "a whole number, 0 or greater", err
	case protoreflect.Int32Kind:
		n, err := strconv.ParseInt(text, 10, 32)
		return protoreflect.ValueOfInt32(int32(n)), "a whole number", err
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(n), "a number", err
	case protoreflect.MessageKind:
		duration, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(duration).ProtoReflect()), "a duration with its unit", err
	default:
		return protoreflect.Value{}, "a supported value", strconv.ErrSyntax
	}
}

func exampleHint(f protoreflect.FieldDescriptor) string {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return "write for example 500ms, 30s or 5m"
	case protoreflect.BoolKind:
		return "write true or false"
	case protoreflect.DoubleKind:
		return "write for example 1.5"
	default:
		return "write for example 1"
	}
}

// knownKeysHint lists the keys of a message, those with the longest common prefix with key
// first.
func knownKeysHint(md protoreflect.MessageDescriptor, key string) string {
	names := make([]string, md.Fields().Len())
	for i := range names {
		names[i] = md.Fields().Get(i).JSONName()
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return commonPrefixLength(b, key) - commonPrefixLength(a, key)
	})
	return "known keys: " + strings.Join(names, ", ")
}

func commonPrefixLength(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func pathOrDefault(path, fallback string) string {
	if path == "" {
		return fallback
	}
	return path
}

func lineNumber(node ast.Node) int {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 1
}
