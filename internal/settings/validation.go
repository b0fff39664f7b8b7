package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// JSONName names a struct field as its JSON does, for messages.
func JSONName(f reflect.StructField) string {
	n, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if n == "-" || n == "" {
		return f.Name
	}
	return n
}

// FirstViolation describes the first failed check: the field's path and what it wants.
func FirstViolation(err error) string {
	var ve validator.ValidationErrors
	if !errors.As(err, &ve) || len(ve) == 0 {
		return err.Error()
	}
	f := ve[0]
	_, path, ok := strings.Cut(f.Namespace(), ".")
	if !ok {
		path = f.Field()
	}
	switch f.Tag() {
	case "required":
		return path + ": missing"
	case "len", "gt", "gte", "lt", "lte", "min", "max", "oneof", "gtefield":
		return fmt.Sprintf("%s: must be %s %s, is %v", path, f.Tag(), f.Param(), f.Value())
	}
	return fmt.Sprintf("%s: %v is not a valid %s", path, f.Value(), f.Tag())
}
