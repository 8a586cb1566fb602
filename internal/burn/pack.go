package burn

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// packedMost bounds an unpacked document, in bytes.
const packedMost = 64 << 20

// Pack is the document in the form in which routers exchange it: compressed
// JSON, since thousands of organisations differ in a few digits only.
func (d *Document) Pack() ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode the report")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the report")
	}
	return out.Bytes(), nil
}

// Unpack reads what Pack made.
func Unpack(data []byte) (Document, error) {
	var doc Document
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return doc, errors.Wrap(err, "decompress the report")
	}
	err = json.NewDecoder(io.LimitReader(zip, packedMost)).Decode(&doc)
	return doc, errors.Wrap(err, "decode the report")
}
