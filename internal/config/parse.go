package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxFileBytes is the largest size of a configuration file.
const MaxFileBytes = 16 << 20

// ParseFile reads the records of a configuration file: any number of JSON records
// and arrays of records, one after the other. The name is the file name in the
// findings. The content of the records is not checked.
func ParseFile(name string, r io.Reader) ([]json.RawMessage, Findings) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, Findings{{File: name, Message: fmt.Sprintf("cannot be read: %v", err)}}
	}
	if len(data) > MaxFileBytes {
		return nil, Findings{{File: name, Message: fmt.Sprintf("is larger than %d bytes", MaxFileBytes)}}
	}
	return parse(name, data)
}

// parse reads the records in the content of a file.
func parse(name string, data []byte) ([]json.RawMessage, Findings) {
	var records []json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var document json.RawMessage
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			line := 1 + bytes.Count(data[:decoder.InputOffset()], []byte("\n"))
			message := fmt.Sprintf("is not JSON in the document that starts near line %d: %v", line, err)
			return nil, Findings{{File: name, Record: len(records) + 1, Message: message}}
		}
		items, err := splitRecords(document)
		if err != nil {
			return nil, Findings{{File: name, Record: len(records) + 1, Message: err.Error()}}
		}
		records = append(records, items...)
	}
	if len(records) == 0 {
		return nil, Findings{{File: name, Message: "holds no records"}}
	}
	return records, nil
}

// splitRecords returns the items of an array, or the document itself if it is not an
// array.
func splitRecords(document json.RawMessage) ([]json.RawMessage, error) {
	if document[0] != '[' {
		return []json.RawMessage{document}, nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(document, &items); err != nil {
		return nil, fmt.Errorf("is not an array of records: %w", err)
	}
	return items, nil
}
