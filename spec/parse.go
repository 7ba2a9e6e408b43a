package spec

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxSize is the largest document in bytes; the key-value service holds
// values up to a megabyte, and the record around a document takes a part.
const MaxSize = 900 << 10

// Bounds of the document's numbers.
const (
	maxPriority = 100
	maxWeight   = 10
	maxShare    = 1000
	maxSlots    = 10_000
	maxMemory   = 100_000_000 // tokens
	maxDeadline = time.Hour
	maxFaults   = 100 // faults reported for one text
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Fault is one thing wrong with a text.
type Fault struct {
	Line    int    // 1 for the first line
	Field   string // path such as services[0].kind
	Message string
}

// ParseError holds every fault found in a text, in the order of its lines.
type ParseError struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Message)
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and checks a document. The error is a *ParseError.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxSize {
		return nil, faultAt(1, "document", fmt.Sprintf("size of %d bytes exceeds %d", len(text), MaxSize))
	}
	// The decoder reports keys that are given twice, with their fields.
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxFault(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, faultAt(1, "document", fmt.Sprintf("holds %d YAML documents, not one", len(file.Docs)))
	}
	d := &decoder{lines: map[string]int{}}
	doc := &Document{}
	d.decode(file.Docs[0].Body, reflect.ValueOf(doc).Elem(), "")
	c := &checker{d: d}
	c.document(doc)
	if len(d.faults) == 0 {
		return doc, nil
	}
	return nil, &ParseError{Faults: d.sorted()}
}

// Encode returns the form in which a document goes to nodes, which is decoded
// with far less time and memory than the text that a team writes.
func Encode(doc *Document) ([]byte, error) {
	return json.Marshal(doc)
}

// Decode reads the form that Encode makes. It checks the document as Parse
// does; the faults have no lines.
func Decode(data []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, faultAt(1, "document", "not valid JSON: "+err.Error())
	}
	d := &decoder{lines: map[string]int{}}
	c := &checker{d: d}
	c.document(doc)
	if len(d.faults) > 0 {
		return nil, &ParseError{Faults: d.sorted()}
	}
	return doc, nil
}

func faultAt(line int, field, message string) error {
	return &ParseError{Faults: []Fault{{Line: line, Field: field, Message: message}}}
}

func syntaxFault(err error) error {
	line := 1
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		line = syntax.GetToken().Position.Line
	}
	return faultAt(line, "document", "not YAML: "+firstLine(err.Error()))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// decoder fills a struct from a YAML tree, noting the line of each field.
type decoder struct {
	lines  map[string]int
	faults []Fault
}

func (d *decoder) fault(field, format string, args ...any) {
	if len(d.faults) >= maxFaults {
		return
	}
	d.faults = append(d.faults, Fault{Line: d.line(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

// Returns the line of a field, or of the nearest field around it.
func (d *decoder) line(field string) int {
	for field != "" {
		if n, ok := d.lines[field]; ok {
			return n
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}

func (d *decoder) sorted() []Fault {
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

func (d *decoder) decode(n ast.Node, v reflect.Value, field string) {
	if t := n.GetToken(); t != nil && d.lines[field] == 0 {
		d.lines[field] = t.Position.Line
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, field)
	case reflect.Slice:
		d.decodeSlice(n, v, field)
	default:
		d.decodeScalar(n, v, field)
	}
}

func (d *decoder) decodeStruct(n ast.Node, v reflect.Value, field string) {
	values, ok := mapping(n)
	if !ok {
		d.fault(nameOf(field), "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for _, m := range values {
		key := m.Key.String()
		path := join(field, key)
		d.lines[path] = m.Key.GetToken().Position.Line
		target, ok := fieldByTag(v, key)
		switch {
		case !ok:
			d.fault(path, "unknown field")
		case seen[key]:
			d.fault(path, "given twice")
		default:
			d.decode(m.Value, target, path)
		}
		seen[key] = true
	}
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, field string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fault(field, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		d.decode(item, v.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
}

var durationType = reflect.TypeOf(time.Duration(0))

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, field string) {
	if number(n) && v.Kind() == reflect.String {
		// A version such as 2026.10 stays as it was written.
		v.SetString(n.GetToken().Value)
		return
	}
	switch n := n.(type) {
	case *ast.StringNode:
		d.decodeText(n.Value, v, field)
	case *ast.IntegerNode:
		if i, ok := toInt(n.Value); ok && v.Kind() == reflect.Int {
			v.SetInt(i)
			return
		}
		d.fault(field, "must be %s", wanted(v))
	case *ast.BoolNode:
		if v.Kind() == reflect.Bool {
			v.SetBool(n.Value)
			return
		}
		d.fault(field, "must be %s", wanted(v))
	default:
		d.fault(field, "must be %s", wanted(v))
	}
}

func (d *decoder) decodeText(s string, v reflect.Value, field string) {
	switch {
	case v.Type() == durationType:
		t, err := time.ParseDuration(s)
		if err != nil {
			d.fault(field, "must be %s, not %q", wanted(v), s)
			return
		}
		v.SetInt(int64(t))
	case v.Kind() == reflect.String:
		v.SetString(s)
	default:
		d.fault(field, "must be %s, not %q", wanted(v), s)
	}
}

func number(n ast.Node) bool {
	t := n.Type()
	return t == ast.IntegerType || t == ast.FloatType
}

func toInt(v any) (int64, bool) {
	switch n := v.(type) {
	case int64:
		return n, true
	case uint64:
		return int64(n), n < 1<<62
	}
	return 0, false
}

func wanted(v reflect.Value) string {
	switch {
	case v.Type() == durationType:
		return "a duration such as 5s"
	case v.Kind() == reflect.Int:
		return "a whole number"
	case v.Kind() == reflect.Bool:
		return "true or false"
	}
	return "text"
}

func mapping(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func fieldByTag(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

func nameOf(field string) string {
	if field == "" {
		return "document"
	}
	return field
}

// checker reports references and values that are out of range.
type checker struct {
	d *decoder
}

func (c *checker) document(doc *Document) {
	c.name("team", doc.Team)
	names := map[string]bool{}
	for i := range doc.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.unique(names, field+".name", doc.Services[i].Name)
		c.service(field, &doc.Services[i])
	}
	if len(doc.Services) == 0 {
		c.d.fault("services", "names no service")
	}
	spaces, keys := map[string]bool{}, map[string]bool{}
	for i := range doc.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.unique(spaces, field+".name", doc.Workspaces[i].Name)
		c.workspace(field, &doc.Workspaces[i], names, keys)
	}
}

func (c *checker) service(field string, s *Service) {
	switch s.Kind {
	case KindModel:
		c.modelService(field, s)
	case KindPlain:
		c.plainService(field, s)
	default:
		c.d.fault(field+".kind", "must be model or plain, not %q", s.Kind)
	}
	names := map[string]bool{}
	for i := range s.Endpoints {
		c.endpoint(fmt.Sprintf("%s.endpoints[%d]", field, i), s, &s.Endpoints[i], names)
	}
	classes := map[string]bool{}
	for i := range s.Classes {
		at := fmt.Sprintf("%s.classes[%d]", field, i)
		k := &s.Classes[i]
		c.unique(classes, at+".name", k.Name)
		c.within(at+".priority", k.Priority, 0, maxPriority)
		if k.Deadline < 0 || k.Deadline > maxDeadline {
			c.d.fault(at+".deadline", "must lie between 0s and %s", maxDeadline)
		}
	}
	if len(s.Classes) == 0 {
		c.d.fault(field+".classes", "names no class")
	}
	c.within(field+".weigh.gap", s.Weigh.Gap, 0, maxWeight)
	c.within(field+".weigh.stall", s.Weigh.Stall, 0, maxWeight)
	c.within(field+".weigh.preempt", s.Weigh.Preempt, 0, maxWeight)
}

func (c *checker) modelService(field string, s *Service) {
	if len(s.Models) == 0 {
		c.d.fault(field+".models", "names no model")
	}
	names := map[string]bool{}
	for i := range s.Models {
		c.unique(names, fmt.Sprintf("%s.models[%d].name", field, i), s.Models[i].Name)
	}
	if len(s.Calls) > 0 {
		c.d.fault(field+".calls", "belongs to plain services only")
	}
}

func (c *checker) plainService(field string, s *Service) {
	if len(s.Models) > 0 {
		c.d.fault(field+".models", "belongs to model services only")
	}
	if len(s.Calls) == 0 {
		c.d.fault(field+".calls", "names no call")
	}
	for i, k := range s.Calls {
		at := fmt.Sprintf("%s.calls[%d]", field, i)
		if !strings.HasPrefix(k.Path, "/") {
			c.d.fault(at+".path", "must start with /, not %q", k.Path)
		}
		if !knownMethods[k.Method] {
			c.d.fault(at+".method", "must be an HTTP method such as GET, not %q", k.Method)
		}
	}
}

var knownMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (c *checker) endpoint(field string, s *Service, e *Endpoint, names map[string]bool) {
	c.unique(names, field+".name", e.Name)
	c.name(field+".centre", e.Centre)
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		c.d.fault(field+".addr", "must be an IP number and port, not %q", e.Addr)
	}
	c.within(field+".slots", e.Slots, 1, maxSlots)
	if s.Kind == KindModel {
		c.within(field+".memory", e.Memory, 1, maxMemory)
	}
}

func (c *checker) workspace(field string, w *Workspace, services, keys map[string]bool) {
	c.within(field+".share", w.Share, 1, maxShare)
	for i, s := range w.Services {
		if !services[s] {
			c.d.fault(fmt.Sprintf("%s.services[%d]", field, i), "service %q does not exist in the document", s)
		}
	}
	for i, k := range w.Keys {
		at := fmt.Sprintf("%s.keys[%d]", field, i)
		if !strings.HasPrefix(k, KeyPrefix) || len(k) != len(KeyPrefix)+64 {
			c.d.fault(at, "must be %s and 64 hex digits", KeyPrefix)
			continue
		}
		if keys[k] {
			c.d.fault(at, "given twice in the document")
		}
		keys[k] = true
	}
}

func (c *checker) unique(seen map[string]bool, field, name string) {
	c.name(field, name)
	if seen[name] {
		c.d.fault(field, "name %q is given twice", name)
	}
	seen[name] = true
}

func (c *checker) name(field, name string) {
	if !nameForm.MatchString(name) {
		c.d.fault(field, "must be lower-case letters, digits, dots and hyphens, not %q", name)
	}
}

func (c *checker) within(field string, n, low, high int) {
	if n < low || n > high {
		c.d.fault(field, "must lie between %d and %d, not %d", low, high, n)
	}
}
