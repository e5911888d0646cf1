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

// strictReader fills a value from JSON and notes every key or value that the
// value's type does not have.
//
// The standard decoder is too forgiving for configuration: it takes the last of
// two equal keys, matches keys without regard to case, and stops at the first
// wrong type without saying where it stood. The reader walks the tokens and the
// Go type side by side instead. A key without a field is noted and its value
// skipped, so that one pass reports everything:
//
//	{"set": {"modles": {}, "rules": {"a": {"maxReplicas": "2"}}}}
//	set.modles: unknown key; …
//	set.rules.a.maxReplicas: "2": a whole number is expected
//
// Only broken JSON ends the walk early, since nothing after it can be trusted.
type strictReader struct {
	tokens *json.Decoder
	faults []Fault
}

// decodeStrict fills target, a pointer, from data.
func decodeStrict(data []byte, target any) []Fault {
	r := &strictReader{tokens: json.NewDecoder(bytes.NewReader(data))}
	r.tokens.UseNumber()
	if err := r.value(reflect.ValueOf(target).Elem(), ""); err != nil {
		r.note(FaultSyntax, "", "", syntaxText(err))
		return r.faults
	}
	if _, err := r.tokens.Token(); !errors.Is(err, io.EOF) {
		r.note(FaultTrailing, "", "", fmt.Sprintf("text after the end of the value at byte %d", r.tokens.InputOffset()))
	}
	return r.faults
}

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

func (r *strictReader) note(kind FaultKind, path, value, accepted string) {
	r.faults = append(r.faults, Fault{Kind: kind, Path: path, Value: shown(value), Accepted: accepted})
}

// value reads the next JSON value into v.
func (r *strictReader) value(v reflect.Value, path string) error {
	token, err := r.tokens.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return r.object(v, path)
	case json.Delim('['):
		return r.array(v, path)
	}
	r.scalar(v, path, token)
	return nil
}

func (r *strictReader) object(v reflect.Value, path string) error {
	switch v.Kind() {
	case reflect.Struct:
		return r.members(path, func(key, at string) error { return r.field(v, key, at) })
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		return r.members(path, func(key, at string) error {
			item := reflect.New(v.Type().Elem()).Elem()
			if err := r.value(item, at); err != nil {
				return err
			}
			v.SetMapIndex(reflect.ValueOf(key), item)
			return nil
		})
	}
	r.note(FaultType, path, "{…}", wanted(v)+" is expected")
	return r.skipRest()
}

// members calls read for each key of an object, whose value comes next.
func (r *strictReader) members(path string, read func(key, at string) error) error {
	seen := make(map[string]bool)
	for r.tokens.More() {
		token, err := r.tokens.Token()
		if err != nil {
			return err
		}
		key := token.(string)
		at := join(path, key)
		if seen[key] {
			r.note(FaultDuplicateKey, at, "", "the key is given twice")
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

func (r *strictReader) field(v reflect.Value, key, at string) error {
	names := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		if name == key {
			return r.value(v.Field(i), at)
		}
		names = append(names, name)
	}
	r.note(FaultUnknownKey, at, "", "unknown key; accepted are "+strings.Join(names, ", "))
	return r.skip()
}

func (r *strictReader) array(v reflect.Value, path string) error {
	if v.Kind() != reflect.Slice {
		r.note(FaultType, path, "[…]", wanted(v)+" is expected")
		return r.skipRest()
	}
	for i := 0; r.tokens.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := r.value(item, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
		v.Set(reflect.Append(v, item))
	}
	_, err := r.tokens.Token()
	return err
}

// scalar sets v from a token that is neither object nor array.
func (r *strictReader) scalar(v reflect.Value, path string, token json.Token) {
	if d, ok := v.Addr().Interface().(*Duration); ok {
		text, err := json.Marshal(token)
		if err == nil {
			err = d.UnmarshalJSON(text)
		}
		if err != nil {
			r.note(FaultType, path, string(text), err.Error())
		}
		return
	}
	if !setScalar(v, token) {
		text, _ := json.Marshal(token)
		r.note(FaultType, path, string(text), wanted(v)+" is expected")
	}
}

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

// skip passes over the next value.
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

// skipRest passes over what is left of a value whose beginning has been read.
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

// wanted describes the JSON value that a Go type is read from.
func wanted(v reflect.Value) string {
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

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
