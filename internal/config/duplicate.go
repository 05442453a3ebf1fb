package config

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// duplicateFields returns the paths of the fields that occur more than once in an
// object of a JSON document. They are errors because it is unclear which value is
// meant.
func duplicateFields(raw json.RawMessage) []string {
	s := fieldScanner{decoder: json.NewDecoder(bytes.NewReader(raw))}
	s.value("")
	return s.duplicates
}

// fieldScanner walks the tokens of a document.
type fieldScanner struct {
	decoder    *json.Decoder
	duplicates []string
}

// value walks one value; ok is false when the document cannot be read further.
func (s *fieldScanner) value(path string) (ok bool) {
	token, err := s.decoder.Token()
	if err != nil {
		return false
	}
	switch token {
	case json.Delim('{'):
		return s.object(path)
	case json.Delim('['):
		return s.array(path)
	default:
		return true
	}
}

// object walks the fields of an object after its opening brace.
func (s *fieldScanner) object(path string) bool {
	seen := make(map[string]bool)
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return false
		}
		name := fmt.Sprint(token)
		if path != "" {
			name = path + "." + name
		}
		if seen[name] {
			s.duplicates = append(s.duplicates, name)
		}
		seen[name] = true
		if !s.value(name) {
			return false
		}
	}
	_, err := s.decoder.Token()
	return err == nil
}

// array walks the items of an array after its opening bracket.
func (s *fieldScanner) array(path string) bool {
	for i := 0; s.decoder.More(); i++ {
		if !s.value(fmt.Sprintf("%s[%d]", path, i)) {
			return false
		}
	}
	_, err := s.decoder.Token()
	return err == nil
}
