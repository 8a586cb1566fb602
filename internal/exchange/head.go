package exchange

import "io"

// headerLimitReader bounds how much is read of a connection while a header is awaited, since
// http.ReadResponse does not: a faulty upstream may send one that has no end.
type headerLimitReader struct {
	src       io.Reader
	limited   bool
	remaining int
}

// setLimit lets at most n more bytes be read, unbind any number.
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
