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

const durationName = "google.protobuf.Duration"

// document is a file that was decoded, with the line of every key in it.
type document struct {
	file   string
	lines  map[string]int
	faults Faults
}

// decode reads YAML into a message whose JSON names are the keys. All faults
// are collected in the document.
func decode(file string, data []byte, into proto.Message) *document {
	d := &document{file: file, lines: map[string]int{}}
	// Duplicate keys are reported below, together with every other fault.
	parsed, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.add(syntaxLine(err), "file", "not YAML: "+firstLine(err.Error()), "")
		return d
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		d.add(1, "file", "not one YAML document", "write one document")
		return d
	}
	d.message("", parsed.Docs[0].Body, into.ProtoReflect())
	return d
}

func syntaxLine(err error) int {
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

func (d *document) add(line int, key, wrong, right string) {
	d.faults = append(d.faults, Fault{d.file, line, key, wrong, right})
}

// fault reports on a key by its path; a key that is not in the file is reported
// at the line of the nearest part that is.
func (d *document) fault(path, wrong, right string) {
	at := path
	for at != "" && d.lines[at] == 0 {
		i := strings.LastIndexAny(at, ".[")
		at = at[:max(i, 0)]
	}
	d.add(max(d.lines[at], 1), path, wrong, right)
}

// err returns the faults in the order of lines, or nil.
func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].line < d.faults[j].line })
	return d.faults
}

func (d *document) message(path string, node ast.Node, m protoreflect.Message) {
	values, ok := mappingValues(node)
	if !ok {
		d.add(lineOf(node), pathOr(path, "file"), "not a mapping", "write keys with values")
		return
	}
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.String()
		at := joinPath(path, key)
		d.lines[at] = lineOf(v.Key)
		field := m.Descriptor().Fields().ByJSONName(key)
		switch {
		case field == nil:
			d.add(lineOf(v.Key), at, "unknown key", knownKeys(m.Descriptor(), key))
		case seen[key]:
			d.add(lineOf(v.Key), at, "given twice", "keep one")
		default:
			d.field(at, v.Value, m, field)
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

func (d *document) field(path string, node ast.Node, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	if _, null := node.(*ast.NullNode); null {
		d.add(lineOf(node), path, "no value", "give one or leave the key out")
		return
	}
	if f.IsList() {
		d.list(path, node, m, f)
		return
	}
	if f.Kind() == protoreflect.MessageKind && string(f.Message().FullName()) != durationName {
		d.message(path, node, m.Mutable(f).Message())
		return
	}
	if v, ok := d.scalar(path, node, f); ok {
		m.Set(f, v)
	}
}

func (d *document) list(path string, node ast.Node, m protoreflect.Message, f protoreflect.FieldDescriptor) {
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.add(lineOf(node), path, "not a list", "write items that begin with -")
		return
	}
	list := m.Mutable(f).List()
	for i, item := range seq.Values {
		at := path + "[" + strconv.Itoa(i) + "]"
		d.lines[at] = lineOf(item)
		if f.Kind() == protoreflect.MessageKind {
			element := list.NewElement()
			d.message(at, item, element.Message())
			list.Append(element)
			continue
		}
		if v, ok := d.scalar(at, item, f); ok {
			list.Append(v)
		}
	}
}

func (d *document) scalar(path string, node ast.Node, f protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	text, isString := scalarText(node)
	v, want, err := scalarValue(f, text, isString)
	if err != nil {
		d.add(lineOf(node), path, fmt.Sprintf("%q is not %s", text, want), exampleOf(f))
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

func scalarValue(f protoreflect.FieldDescriptor, text string, isString bool) (protoreflect.Value, string, error) {
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
		return protoreflect.ValueOfUint64(n), "a whole number from 0 up", err
	case protoreflect.Int32Kind:
		n, err := strconv.ParseInt(text, 10, 32)
		return protoreflect.ValueOfInt32(int32(n)), "a whole number", err
	case protoreflect.DoubleKind:
		n, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(n), "a number", err
	case protoreflect.MessageKind:
		t, err := time.ParseDuration(text)
		return protoreflect.ValueOfMessage(durationpb.New(t).ProtoReflect()), "a duration with its unit", err
	default:
		return protoreflect.Value{}, "a supported value", strconv.ErrSyntax
	}
}

func exampleOf(f protoreflect.FieldDescriptor) string {
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

// knownKeys names the closest key first.
func knownKeys(md protoreflect.MessageDescriptor, key string) string {
	names := make([]string, md.Fields().Len())
	for i := range names {
		names[i] = md.Fields().Get(i).JSONName()
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return sharedPrefix(b, key) - sharedPrefix(a, key)
	})
	return "known here: " + strings.Join(names, ", ")
}

func sharedPrefix(a, b string) int {
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

func pathOr(path, other string) string {
	if path == "" {
		return other
	}
	return path
}

func lineOf(node ast.Node) int {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 1
}
