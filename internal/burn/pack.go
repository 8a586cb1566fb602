package burn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxUnpackedBytes bounds the JSON text of a document, in bytes.
const maxUnpackedBytes = 64 << 20

// Pack encodes the document as routers exchange it: as JSON compressed with gzip,
// which compresses well because the entries of thousands of organisations differ in
// a few digits only.
func (d *Document) Pack() ([]byte, error) {
	var out bytes.Buffer
	gz := gzip.NewWriter(&out)
	if err := json.NewEncoder(gz).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode the report")
	}
	if err := gz.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the report")
	}
	return out.Bytes(), nil
}

// Unpack decodes a document encoded by Pack.
func Unpack(data []byte) (Document, error) {
	var doc Document
	gz, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return doc, errors.Wrap(err, "decompress the report")
	}
	err = json.NewDecoder(io.LimitReader(gz, maxUnpackedBytes)).Decode(&doc)
	return doc, errors.Wrap(err, "decode the report")
}
