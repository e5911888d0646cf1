package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

// strictReader decodes JSON into a Go value and collects a fault for every key or value that
// does not fit the value's type.
//
// encoding/json is too lenient for configuration: it uses the last of two equal keys,
// matches keys case-insensitively, and stops at the first wrong type without giving its
// path. The reader instead walks the tokens and the Go type in parallel. It records a fault
// for a key without a field and skips the value, so that one pass reports all faults:
//
//	{"set": {"modles": {}, "rules": {"a": {"maxReplicas": "2"}}}}
//	set.modles: unknown key; …
//	set.rules.a.maxReplicas: "2": a whole number is expected
//
// Only a syntax error ends the pass early, since the rest of the text cannot be interpreted.
type strictReader struct {
	tokens *json.Decoder
	faults []Fault
}

// decodeStrict decodes data into target, which is a pointer, and returns the faults found.
func decodeStrict(data []byte, target any) []Fault {
	r := &strictReader{tokens: json.NewDecoder(bytes.NewReader(data))}
	r.tokens.UseNumber()
	if err := r.readValue(reflect.ValueOf(target).Elem(), ""); err != nil {
		r.addFault(FaultSyntax, "", "", syntaxText(err))
		return r.faults
	}
	if _, err := r.tokens.Token(); !errors.Is(err, io.EOF) {
		r.addFault(FaultTrailing, "", "", fmt.Sprintf("text after the end of the value at byte %d", r.tokens.InputOffset()))
	}
	return r.faults
}

// syntaxText describes an error of the JSON tokenizer.
func syntaxText(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("not JSON at byte %d: %v", syntax.Offset, err)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return "not JSON: the text ends too early"
	}
	return fmt.Sprintf("not JSON: %v", err)
}

func (r *strictReader) addFault(kind FaultKind, path, value, accepted string) {
	r.faults = append(r.faults, Fault{Kind: kind, Path: path, Value: shorten(value), Accepted: accepted})
}

// readValue decodes the next JSON value into v.
func (r *strictReader) readValue(v reflect.Value, path string) error {
	token, err := r.tokens.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return r.readObject(v, path)
	case json.Delim('['):
		return r.readArray(v, path)
	}
	r.readScalar(v, path, token)
	return nil
}

// readObject decodes an object into v after its opening brace has been read.
func (r *strictReader) readObject(v reflect.Value, path string) error {
	switch v.Kind() {
	case reflect.Struct:
		return r.readMembers(path, func(key, at string) error { return r.readField(v, key, at) })
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		return r.readMembers(path, func(key, at string) error {
			item := reflect.New(v.Type().Elem()).Elem()
			if err := r.readValue(item, at); err != nil {
				return err
			}
			v.SetMapIndex(reflect.ValueOf(key), item)
			return nil
		})
	}
	r.addFault(FaultType, path, "{…}", expectedType(v)+" is expected")
	return r.skipRest()
}

// readMembers calls read for each key of an object and its path. The value of the key is the
// next token.
func (r *strictReader) readMembers(path string, read func(key, at string) error) error {
	seen := make(map[string]bool)
	for r.tokens.More() {
		token, err := r.tokens.Token()
		if err != nil {
			return err
		}
		key := token.(string)
		at := join(path, key)
		if seen[key] {
			r.addFault(FaultDuplicateKey, at, "", "the key is given twice")
			if err := r.skip(); err != nil {
				return err
			}
			continue
		}
		seen[key] = true
		if err := read(key, at); err != nil {
			return err
		}
	}
	_, err := r.tokens.Token()
	return err
}

// readField decodes the value of key into the field of the struct v with that JSON name.
func (r *strictReader) readField(v reflect.Value, key, at string) error {
	names := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name == key {
			return r.readValue(v.Field(i), at)
		}
		names = append(names, name)
	}
	r.addFault(FaultUnknownKey, at, "", "unknown key; accepted are "+strings.Join(names, ", "))
	return r.skip()
}

// readArray decodes an array into v after its opening bracket has been read.
func (r *strictReader) readArray(v reflect.Value, path string) error {
	if v.Kind() != reflect.Slice {
		r.addFault(FaultType, path, "[…]", expectedType(v)+" is expected")
		return r.skipRest()
	}
	for i := 0; r.tokens.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := r.readValue(item, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
		v.Set(reflect.Append(v, item))
	}
	_, err := r.tokens.Token()
	return err
}

// readScalar sets v from a token that begins neither an object nor an array.
func (r *strictReader) readScalar(v reflect.Value, path string, token json.Token) {
	if d, ok := v.Addr().Interface().(*Duration); ok {
		text, err := json.Marshal(token)
		if err == nil {
			err = d.UnmarshalJSON(text)
		}
		if err != nil {
			r.addFault(FaultType, path, string(text), err.Error())
		}
		return
	}
	if !setScalar(v, token) {
		text, _ := json.Marshal(token)
		r.addFault(FaultType, path, string(text), expectedType(v)+" is expected")
	}
}

// setScalar sets v from a token and reports whether the type of the token fits.
func setScalar(v reflect.Value, token json.Token) bool {
	switch t := token.(type) {
	case string:
		if v.Kind() != reflect.String {
			return false
		}
		v.SetString(t)
		return true
	case bool:
		if v.Kind() != reflect.Bool {
			return false
		}
		v.SetBool(t)
		return true
	case json.Number:
		return setNumber(v, t.String())
	}
	return false
}

// setNumber sets v from a number and reports whether the number fits its type.
func setNumber(v reflect.Value, text string) bool {
	switch v.Kind() {
	case reflect.Int:
		n, err := strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
		return err == nil
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		v.SetUint(n)
		return err == nil
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return err == nil
	}
	return false
}

// skip skips the next value.
func (r *strictReader) skip() error {
	token, err := r.tokens.Token()
	if err != nil {
		return err
	}
	if _, nested := token.(json.Delim); nested {
		return r.skipRest()
	}
	return nil
}

// skipRest skips the rest of an object or array whose opening delimiter has been read.
func (r *strictReader) skipRest() error {
	for depth := 1; depth > 0; {
		token, err := r.tokens.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// expectedType describes the JSON type that v is decoded from.
func expectedType(v reflect.Value) string {
	if v.Type() == reflect.TypeFor[Duration]() {
		return `a duration such as "90s"`
	}
	switch v.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a number"
	}
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
