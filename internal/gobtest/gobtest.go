// Package gobtest provides helpers for compatibility tests: it fills a value of any type with
// content that depends only on the names that gob encodes, and describes a type by those names.
// Two builds that fill and describe a type alike can decode each other's messages.
package gobtest

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"strings"
)

// indent precedes each line of a description.
const indent = "    "

// sliceLength is the number of elements of a filled slice.
const sliceLength = 2

// Fill sets everything that gob would encode of the value pointer points to, limited to the
// fields listed in fields, an earlier result of Describe; if fields is empty, all of it. The
// content is derived from name and the path of field names to each part. It is never the zero
// value, which gob omits.
func Fill(name string, pointer any, fields string) {
	var selectedLines []string
	if fields != "" {
		selectedLines = strings.Split(fields, "\n")
	}
	f := filler{selectedLines}
	f.fill(name, "", reflect.ValueOf(pointer).Elem())
}

// filler fills the parts that the lines of a description list, or all parts if there are no
// lines.
type filler struct{ selectedLines []string }

// selected reports whether a part, or something within it, is to be filled.
func (f *filler) selected(fieldPath string) bool {
	return f.selectedLines == nil || slices.ContainsFunc(f.selectedLines, func(line string) bool {
		rest, found := strings.CutPrefix(line, indent+fieldPath)
		return found && (rest == "" || strings.ContainsAny(rest[:1], ".[( "))
	})
}

// fill sets one part; path leads to it, and fieldPath is its path in a description.
func (f *filler) fill(path, fieldPath string, v reflect.Value) {
	if !f.selected(fieldPath) {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				f.fill(path+"."+field.Name, fieldPath+"."+field.Name, v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(path, fieldPath, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), sliceLength, sliceLength))
		for i := range v.Len() {
			f.fill(fmt.Sprintf("%s[%d]", path, i), fieldPath+"[]", v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(path+"(key)", fieldPath+"(key)", key)
		f.fill(path+"(value)", fieldPath+"(value)", value)
		v.SetMapIndex(key, value)
	default:
		fillScalar(path, v)
	}
}

func fillScalar(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(path)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(hashNumber(path)) / 2)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(hashNumber(path)))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(hashNumber(path)))
	default:
		panic(fmt.Sprintf("gobtest: %s has unsupported type %s", path, v.Type()))
	}
}

// hashNumber hashes path to a number from 1 to 127, which fits every numeric type.
func hashNumber(path string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(path))
	return hash.Sum32()%127 + 1
}

// Describe lists what gob encodes of a type: one line for each field, with its path and its
// kind. The Go names of types are not included.
func Describe(value any) string {
	var lines []string
	describe("", reflect.TypeOf(value), &lines)
	return strings.Join(lines, "\n")
}

func describe(path string, t reflect.Type, lines *[]string) {
	switch t.Kind() {
	case reflect.Pointer: // gob encodes the value it points to
		describe(path, t.Elem(), lines)
	case reflect.Slice:
		describe(path+"[]", t.Elem(), lines)
	case reflect.Map:
		describe(path+"(key)", t.Key(), lines)
		describe(path+"(value)", t.Elem(), lines)
	case reflect.Struct:
		for i := range t.NumField() {
			if field := t.Field(i); field.IsExported() {
				describe(path+"."+field.Name, field.Type, lines)
			}
		}
	default:
		*lines = append(*lines, fmt.Sprintf(indent+"%s %s", path, t.Kind()))
	}
}
