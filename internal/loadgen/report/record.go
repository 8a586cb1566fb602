// Package report prints the measures of runs as tables and stores them as JSON.
package report

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/jujubeford/jujubeford/internal/loadgen/measure"
)

// Record is the content of the file that stores a run.
type Record struct {
	Measures *measure.Measures `json:"measures"`
	Curves   *measure.Curves   `json:"curves"`
}

// Read reads a record from a JSON file.
func Read(path string) (*Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, errors.Wrapf(err, "decode %s", path)
	}
	if r.Measures == nil {
		return nil, errors.Errorf("%s contains no measures", path)
	}
	return &r, nil
}

// WriteJSON writes a value to a file as indented JSON.
func WriteJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	const readable = 0o644
	return errors.Wrap(os.WriteFile(path, append(text, '\n'), readable), "write")
}
