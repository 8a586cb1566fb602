package exchange

import "io"

// headerLimitReader bounds how many bytes are read from a connection while a
// response header is awaited. http.ReadResponse has no such bound, and a faulty
// upstream may send a header that never ends.
type headerLimitReader struct {
	src       io.Reader
	limited   bool
	remaining int
}

// setLimit allows at most n more bytes to be read; clearLimit removes the bound.
func (r *headerLimitReader) setLimit(n int) { r.limited, r.remaining = true, n }

func (r *headerLimitReader) clearLimit() { r.limited = false }

// Read implements io.Reader.
func (r *headerLimitReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.src.Read(p)
	}
	if r.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := r.src.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
