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

// ParseVersion reads "r12".
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

// yieldProcessor lets other work of the process go on between the items of a long
// configuration: on a small part of a core, reading hundreds of them at one go
// is a stall that every request at this process would feel.
func yieldProcessor(n int) {
	if n%constants.ReadBatch == 0 {
		runtime.Gosched()
	}
}

// Parse checks a whole configuration and makes it ready for use. Its error is
// always a *Fault.
func Parse(raw []byte) (*Config, error) {
	var d document
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&d); err != nil {
		return nil, &ValidationError{Reason: "cannot be read: " + err.Error()}
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, &ValidationError{Reason: "cannot be read: more follows the document"}
	}
	ver, err := ParseVersion(d.ConfigVersion)
	if err != nil {
		return nil, &ValidationError{Field: "configVersion", Reason: err.Error()}
	}
	if d.ResourceList == nil {
		return nil, &ValidationError{Field: "resourceList", Reason: "missing"}
	}
	var its []*item
	for i := range d.ResourceList {
		it, err := readItem(i, &d.ResourceList[i])
		if err != nil {
			return nil, err
		}
		its = append(its, it)
		yieldProcessor(i)
	}
	return build(ver, its)
}

// textHash stand for an item's text, which need not be kept to know it again.
type textHash [16]byte

func hashText(text string) (l textHash) {
	sum := sha256.Sum256([]byte(text))
	copy(l[:], sum[:])
	return l
}

// Parser reads one configuration after another, and of each only the items that
// the one before did not have, letter for letter.
type Parser struct {
	items       map[textHash]*item
	ParsedItems int // items the last document did not share with the one before
}

// Parse is like the function of that name; a document in which items cannot be
// separated as written is read whole.
func (rd *Parser) Parse(raw []byte) (*Config, error) {
	if s, err := rd.changes(raw); err == nil {
		return s, nil
	}
	rd.items, rd.ParsedItems = nil, 0
	return Parse(raw)
}

// itemsFollow is the beginning of a document that has nothing before its items but its
// version: whatever else stands there might be a list of something else.
var itemsFollow = regexp.MustCompile(`^\s*\{\s*"configVersion"\s*:\s*"[^"\\]*"\s*,\s*"resourceList"\s*:\s*\[\s*$`)

var errWritten = errors.New("items cannot be told apart")

func (rd *Parser) changes(raw []byte) (*Config, error) {
	parts := items(raw)
	var d document
	if len(parts) < 2 || !itemsFollow.Match(parts[0]) || json.Unmarshal(append(slices.Clone(parts[0]), "]}"...), &d) != nil {
		return nil, errWritten
	}
	ver, err := ParseVersion(d.ConfigVersion)
	if err != nil {
		return nil, err
	}
	have := make(map[textHash]*item, len(parts))
	var its []*item
	rd.ParsedItems = 0
	for i, p := range parts[1:] {
		text, ok := strings.TrimSpace(string(p)), true
		if i == len(parts)-2 {
			if text, ok = strings.CutSuffix(text, "}"); ok {
				text, ok = strings.CutSuffix(strings.TrimSpace(text), "]")
			}
		} else {
			text, ok = strings.CutSuffix(text, ",")
		}
		if !ok {
			return nil, errWritten
		}
		text = strings.TrimSpace(text)
		key := hashText(text)
		it := rd.items[key]
		if it == nil {
			var r resource
			if json.Unmarshal([]byte(text), &r) != nil {
				return nil, errWritten
			}
			if it, err = readItem(i, &r); err != nil {
				return nil, err
			}
			rd.ParsedItems++
			yieldProcessor(rd.ParsedItems)
		}
		have[key] = it
		its = append(its, it)
	}
	s, err := build(ver, its)
	if err == nil {
		rd.items = have
	}
	return s, err
}
