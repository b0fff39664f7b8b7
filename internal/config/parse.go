package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"slateridge/internal/constants"
)

// ParseVersion returns the number of a configuration version such as "r12".
func ParseVersion(s string) (uint64, error) {
	if len(s) < 2 || s[0] != 'r' {
		return 0, fmt.Errorf("%q is not r followed by a number", s)
	}
	n, err := strconv.ParseUint(s[1:], 10, 64)
	if err != nil || n == math.MaxUint64 {
		return 0, fmt.Errorf("%q is not r followed by a number", s)
	}
	return n, nil
}

// yieldProcessor yields to other goroutines after every constants.ConfigParseBatch items of a
// configuration. On a fraction of a core, parsing hundreds of items without a pause would delay
// every request in the process.
func yieldProcessor(parsed int) {
	if parsed%constants.ConfigParseBatch == 0 {
		runtime.Gosched()
	}
}

// Parse parses and validates a configuration document. Its error is always a
// *ValidationError.
func Parse(raw []byte) (*Config, error) {
	var d document
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&d); err != nil {
		return nil, &ValidationError{Reason: "cannot be read: " + err.Error()}
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, &ValidationError{Reason: "cannot be read: more follows the document"}
	}
	version, err := ParseVersion(d.ConfigVersion)
	if err != nil {
		return nil, &ValidationError{Field: "configVersion", Reason: err.Error()}
	}
	if d.ResourceList == nil {
		return nil, &ValidationError{Field: "resourceList", Reason: "missing"}
	}
	var parsed []*item
	for i := range d.ResourceList {
		it, err := parseItem(i, &d.ResourceList[i])
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, it)
		yieldProcessor(i)
	}
	return build(version, parsed)
}

// itemHash identifies the text of an item, so that the text itself need not be kept.
type itemHash [16]byte

func hashItem(text string) (h itemHash) {
	sum := sha256.Sum256([]byte(text))
	copy(h[:], sum[:])
	return h
}

// Parser parses successive configurations. It reuses the items whose text is identical in the
// previous valid one.
type Parser struct {
	items       map[itemHash]*item
	ParsedItems int // items of the last document that were not reused; 0 if it was parsed whole
}

// Parse returns the same result as the function Parse. A document whose text cannot be split
// into items is parsed whole.
func (p *Parser) Parse(raw []byte) (*Config, error) {
	if cfg, err := p.parseIncremental(raw); err == nil {
		return cfg, nil
	}
	p.items, p.ParsedItems = nil, 0
	return Parse(raw)
}

// documentStart matches the text before the first item if it holds only the version. With any
// other field before them, the items could belong to a different list.
var documentStart = regexp.MustCompile(`^\s*\{\s*"configVersion"\s*:\s*"[^"\\]*"\s*,\s*"resourceList"\s*:\s*\[\s*$`)

var errNotSeparable = errors.New("document text cannot be split into items")

// parseIncremental parses a document item by item and reuses the items of the previous one. On
// any error the caller parses the document whole, which yields the error to report.
func (p *Parser) parseIncremental(raw []byte) (*Config, error) {
	parts := splitItems(raw)
	var d document
	if len(parts) < 2 || !documentStart.Match(parts[0]) || json.Unmarshal(append(slices.Clone(parts[0]), "]}"...), &d) != nil {
		return nil, errNotSeparable
	}
	version, err := ParseVersion(d.ConfigVersion)
	if err != nil {
		return nil, err
	}
	items := make(map[itemHash]*item, len(parts))
	var parsed []*item
	p.ParsedItems = 0
	for i, part := range parts[1:] {
		text, ok := strings.TrimSpace(string(part)), true
		if i == len(parts)-2 {
			if text, ok = strings.CutSuffix(text, "}"); ok {
				text, ok = strings.CutSuffix(strings.TrimSpace(text), "]")
			}
		} else {
			text, ok = strings.CutSuffix(text, ",")
		}
		if !ok {
			return nil, errNotSeparable
		}
		text = strings.TrimSpace(text)
		key := hashItem(text)
		it := p.items[key]
		if it == nil {
			var r resource
			if json.Unmarshal([]byte(text), &r) != nil {
				return nil, errNotSeparable
			}
			if it, err = parseItem(i, &r); err != nil {
				return nil, err
			}
			p.ParsedItems++
			yieldProcessor(p.ParsedItems)
		}
		items[key] = it
		parsed = append(parsed, it)
	}
	cfg, err := build(version, parsed)
	if err == nil {
		p.items = items
	}
	return cfg, err
}
