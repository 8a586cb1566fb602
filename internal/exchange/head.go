package exchange

import "io"

// headReader bounds how much is read of a connection while a header is awaited, since
// http.ReadResponse does not: a faulty upstream may send one that has no end.
type headReader struct {
	from  io.Reader
	bound bool
	left  int
}

// bind lets at most n more bytes be read, unbind any number.
func (r *headReader) bind(n int) { r.bound, r.left = true, n }

func (r *headReader) unbind() { r.bound = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.bound {
		return r.from.Read(p)
	}
	if r.left == 0 {
		return 0, errHeadSize
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
