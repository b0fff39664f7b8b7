package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// JSONName returns the JSON name of a struct field, so that error messages use the names of the
// file.
func JSONName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || name == "" {
		return f.Name
	}
	return name
}

// FirstViolation describes the first failed check in an error of the validator, as the path of the
// field followed by the requirement. It returns the text of any other error unchanged.
func FirstViolation(err error) string {
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) || len(violations) == 0 {
		return err.Error()
	}
	first := violations[0]
	_, path, ok := strings.Cut(first.Namespace(), ".")
	if !ok {
		path = first.Field()
	}
	switch first.Tag() {
	case "required":
		return path + ": missing"
	case "len", "gt", "gte", "lt", "lte", "min", "max", "oneof", "gtefield":
		return fmt.Sprintf("%s: must be %s %s, is %v", path, first.Tag(), first.Param(), first.Value())
	}
	return fmt.Sprintf("%s: %v is not a valid %s", path, first.Value(), first.Tag())
}
