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

// MaxDocumentBytes is the largest size of a document's text. The key-value
// service stores values of up to 1 MB, and the record that contains the text
// needs some of that for its other fields.
const MaxDocumentBytes = 900 << 10

// Limits of the values in a document, and of the faults that are reported.
const (
	maxPriority       = 100
	maxWeight         = 10
	maxShare          = 1000
	maxSlots          = 10_000
	maxMemory         = 100_000_000 // tokens
	maxDeadline       = time.Hour
	maxReportedFaults = 100 // faults reported for one text
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Fault is one error in a document.
type Fault struct {
	Line    int    // line of the text, counted from 1
	Field   string // path of the field, such as services[0].kind
	Message string
}

// ParseError lists the faults of a document, sorted by line. Faults beyond the
// first maxReportedFaults are left out.
type ParseError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Message)
	}
	return strings.Join(lines, "\n")
}

// Parse decodes the YAML text of a document and validates it. Its error is a
// *ParseError.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, singleFault(1, "document", fmt.Sprintf("size of %d bytes exceeds %d", len(text), MaxDocumentBytes))
	}
	// Duplicate keys are allowed here because decodeStruct reports each of
	// them with its field.
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxFault(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, singleFault(1, "document", fmt.Sprintf("holds %d YAML documents; exactly one is required, and it must not be empty", len(file.Docs)))
	}
	d := &decoder{lines: map[string]int{}}
	doc := &Document{}
	d.decode(file.Docs[0].Body, reflect.ValueOf(doc).Elem(), "")
	c := &checker{d: d}
	c.checkDocument(doc)
	if len(d.faults) == 0 {
		return doc, nil
	}
	return nil, &ParseError{Faults: d.sortedFaults()}
}

// Encode returns the JSON form in which a document is distributed to nodes.
// Decoding it takes far less time and memory than parsing the YAML text.
func Encode(doc *Document) ([]byte, error) {
	return json.Marshal(doc)
}

// Decode decodes the output of Encode and validates the document as Parse does.
// Its error is a *ParseError whose faults all name line 1, because the encoded
// form does not keep the lines of the text.
func Decode(data []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, singleFault(1, "document", "not valid JSON: "+err.Error())
	}
	d := &decoder{lines: map[string]int{}}
	c := &checker{d: d}
	c.checkDocument(doc)
	if len(d.faults) > 0 {
		return nil, &ParseError{Faults: d.sortedFaults()}
	}
	return doc, nil
}

// singleFault returns a *ParseError with one fault.
func singleFault(line int, field, message string) error {
	return &ParseError{Faults: []Fault{{Line: line, Field: field, Message: message}}}
}

// syntaxFault returns a *ParseError for text that the YAML parser rejected.
func syntaxFault(err error) error {
	line := 1
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		line = syntax.GetToken().Position.Line
	}
	return singleFault(line, "document", "not YAML: "+firstLine(err.Error()))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(s, "\n")
	return line
}

// decoder fills a struct from a YAML syntax tree and collects the faults.
type decoder struct {
	lines  map[string]int // line of each field, by its path
	faults []Fault
}

// addFault records a fault unless maxReportedFaults have been recorded already.
func (d *decoder) addFault(field, format string, args ...any) {
	if len(d.faults) >= maxReportedFaults {
		return
	}
	d.faults = append(d.faults, Fault{Line: d.lineOf(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of a field, or else of the closest enclosing field that
// has one. Without either it returns 1.
func (d *decoder) lineOf(field string) int {
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

// sortedFaults sorts the recorded faults by line and returns them.
func (d *decoder) sortedFaults() []Fault {
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

// decode stores the value of node n in v. The parameter field is the path of v
// within the document, and is empty for the document itself.
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
	values, ok := mappingValues(n)
	if !ok {
		d.addFault(pathOrDocument(field), "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for _, m := range values {
		key := m.Key.String()
		path := joinPath(field, key)
		d.lines[path] = m.Key.GetToken().Position.Line
		target, ok := fieldByTag(v, key)
		switch {
		case !ok:
			d.addFault(path, "unknown field")
		case seen[key]:
			d.addFault(path, "given twice")
		default:
			d.decode(m.Value, target, path)
		}
		seen[key] = true
	}
}

func (d *decoder) decodeSlice(n ast.Node, v reflect.Value, field string) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addFault(field, "must be a list")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, item := range seq.Values {
		d.decode(item, v.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
}

var durationType = reflect.TypeOf(time.Duration(0))

func (d *decoder) decodeScalar(n ast.Node, v reflect.Value, field string) {
	if isNumber(n) && v.Kind() == reflect.String {
		// The token's text is kept, since a version such as 2026.10 would
		// lose its last digit as a number.
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
		d.addFault(field, "must be %s", describeType(v))
	case *ast.BoolNode:
		if v.Kind() == reflect.Bool {
			v.SetBool(n.Value)
			return
		}
		d.addFault(field, "must be %s", describeType(v))
	default:
		d.addFault(field, "must be %s", describeType(v))
	}
}

func (d *decoder) decodeText(s string, v reflect.Value, field string) {
	switch {
	case v.Type() == durationType:
		t, err := time.ParseDuration(s)
		if err != nil {
			d.addFault(field, "must be %s, not %q", describeType(v), s)
			return
		}
		v.SetInt(int64(t))
	case v.Kind() == reflect.String:
		v.SetString(s)
	default:
		d.addFault(field, "must be %s, not %q", describeType(v), s)
	}
}

func isNumber(n ast.Node) bool {
	t := n.Type()
	return t == ast.IntegerType || t == ast.FloatType
}

// toInt returns the value of an integer node, which the YAML parser holds as
// int64 or uint64. It rejects unsigned values of 1<<62 and more.
func toInt(v any) (int64, bool) {
	switch n := v.(type) {
	case int64:
		return n, true
	case uint64:
		return int64(n), n < 1<<62
	}
	return 0, false
}

// describeType returns what a field of the type of v must contain, for messages.
func describeType(v reflect.Value) string {
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

// mappingValues returns the entries of a mapping. The parser may represent a
// mapping with one entry by that entry alone.
func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// fieldByTag returns the field of struct v whose yaml tag is key.
func fieldByTag(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}

// pathOrDocument returns the path to report for field. The empty path, which is
// that of the document itself, is reported as "document".
func pathOrDocument(field string) string {
	if field == "" {
		return "document"
	}
	return field
}

// checker validates a decoded document: names, references between its parts, and
// the ranges of its values.
type checker struct {
	d *decoder
}

func (c *checker) checkDocument(doc *Document) {
	c.checkName("team", doc.Team)
	services := map[string]bool{}
	for i := range doc.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.checkUniqueName(services, field+".name", doc.Services[i].Name)
		c.checkService(field, &doc.Services[i])
	}
	if len(doc.Services) == 0 {
		c.d.addFault("services", "names no service")
	}
	workspaces, keys := map[string]bool{}, map[string]bool{}
	for i := range doc.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.checkUniqueName(workspaces, field+".name", doc.Workspaces[i].Name)
		c.checkWorkspace(field, &doc.Workspaces[i], services, keys)
	}
}

func (c *checker) checkService(field string, s *Service) {
	switch s.Kind {
	case KindModel:
		c.checkModelService(field, s)
	case KindPlain:
		c.checkPlainService(field, s)
	default:
		c.d.addFault(field+".kind", "must be model or plain, not %q", s.Kind)
	}
	endpoints := map[string]bool{}
	for i := range s.Endpoints {
		c.checkEndpoint(fmt.Sprintf("%s.endpoints[%d]", field, i), s, &s.Endpoints[i], endpoints)
	}
	classes := map[string]bool{}
	for i := range s.Classes {
		path := fmt.Sprintf("%s.classes[%d]", field, i)
		class := &s.Classes[i]
		c.checkUniqueName(classes, path+".name", class.Name)
		c.checkRange(path+".priority", class.Priority, 0, maxPriority)
		if class.Deadline < 0 || class.Deadline > maxDeadline {
			c.d.addFault(path+".deadline", "must lie between 0s and %s", maxDeadline)
		}
	}
	if len(s.Classes) == 0 {
		c.d.addFault(field+".classes", "names no class")
	}
	c.checkRange(field+".weigh.gap", s.Weigh.Gap, 0, maxWeight)
	c.checkRange(field+".weigh.stall", s.Weigh.Stall, 0, maxWeight)
	c.checkRange(field+".weigh.preempt", s.Weigh.Preempt, 0, maxWeight)
}

func (c *checker) checkModelService(field string, s *Service) {
	if len(s.Models) == 0 {
		c.d.addFault(field+".models", "names no model")
	}
	names := map[string]bool{}
	for i := range s.Models {
		c.checkUniqueName(names, fmt.Sprintf("%s.models[%d].name", field, i), s.Models[i].Name)
	}
	if len(s.Calls) > 0 {
		c.d.addFault(field+".calls", "belongs to plain services only")
	}
}

func (c *checker) checkPlainService(field string, s *Service) {
	if len(s.Models) > 0 {
		c.d.addFault(field+".models", "belongs to model services only")
	}
	if len(s.Calls) == 0 {
		c.d.addFault(field+".calls", "names no call")
	}
	for i, call := range s.Calls {
		path := fmt.Sprintf("%s.calls[%d]", field, i)
		if !strings.HasPrefix(call.Path, "/") {
			c.d.addFault(path+".path", "must start with /, not %q", call.Path)
		}
		if !httpMethods[call.Method] {
			c.d.addFault(path+".method", "must be an HTTP method such as GET, not %q", call.Method)
		}
	}
}

var httpMethods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true}

func (c *checker) checkEndpoint(field string, s *Service, e *Endpoint, names map[string]bool) {
	c.checkUniqueName(names, field+".name", e.Name)
	c.checkName(field+".centre", e.Centre)
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		c.d.addFault(field+".addr", "must be an IP address and port, not %q", e.Addr)
	}
	c.checkRange(field+".slots", e.Slots, 1, maxSlots)
	if s.Kind == KindModel {
		c.checkRange(field+".memory", e.Memory, 1, maxMemory)
	}
}

// checkWorkspace checks workspace w. The keys of the workspaces before it are in
// keys; those of w are added.
func (c *checker) checkWorkspace(field string, w *Workspace, services, keys map[string]bool) {
	c.checkRange(field+".share", w.Share, 1, maxShare)
	for i, name := range w.Services {
		if !services[name] {
			c.d.addFault(fmt.Sprintf("%s.services[%d]", field, i), "service %q does not exist in the document", name)
		}
	}
	for i, key := range w.Keys {
		path := fmt.Sprintf("%s.keys[%d]", field, i)
		if !strings.HasPrefix(key, KeyPrefix) || len(key) != len(KeyPrefix)+64 {
			c.d.addFault(path, "must be %s and 64 hex digits", KeyPrefix)
			continue
		}
		if keys[key] {
			c.d.addFault(path, "given twice in the document")
		}
		keys[key] = true
	}
}

// checkUniqueName checks the form of name and that seen does not contain it, and
// adds it to seen.
func (c *checker) checkUniqueName(seen map[string]bool, field, name string) {
	c.checkName(field, name)
	if seen[name] {
		c.d.addFault(field, "name %q is given twice", name)
	}
	seen[name] = true
}

func (c *checker) checkName(field, name string) {
	if !namePattern.MatchString(name) {
		c.d.addFault(field, "must be 1 to 63 lower-case letters, digits, dots and hyphens that begin with a letter or digit, not %q", name)
	}
}

func (c *checker) checkRange(field string, n, low, high int) {
	if n < low || n > high {
		c.d.addFault(field, "must lie between %d and %d, not %d", low, high, n)
	}
}
