package holding

import "io"

const (
	// firstSegment and lastSegment are the sizes of a body's smallest and largest segments,
	// in bytes. A body never takes more than lastSegment beyond what has arrived of it.
	firstSegment = 4 << 10
	lastSegment  = 64 << 10
)

// Body is a body in segments. It grows without being copied.
type Body [][]byte

// Len is the body's size in bytes.
func (b Body) Len() (n int) {
	for _, s := range b {
		n += len(s)
	}
	return n
}

// Bytes returns the body in one piece, which is a copy if it has several segments.
func (b Body) Bytes() []byte {
	switch len(b) {
	case 0:
		return nil
	case 1:
		return b[0]
	}
	all := make([]byte, 0, b.Len())
	for _, s := range b {
		all = append(all, s...)
	}
	return all
}

// Fill appends up to n bytes of r. It returns the error of the last read, io.EOF if that
// found the end of r, and nil once there are n bytes.
func (b *Body) Fill(r io.Reader, n int64) error {
	for n > 0 {
		last := len(*b) - 1
		if last < 0 || len((*b)[last]) == cap((*b)[last]) {
			size := int64(firstSegment)
			if last >= 0 {
				size = min(lastSegment, 2*int64(cap((*b)[last])))
			}
			*b = append(*b, make([]byte, 0, min(size, n)))
			last++
		}
		s := (*b)[last]
		room := s[len(s):min(int64(cap(s)), int64(len(s))+n)]
		got, err := r.Read(room)
		(*b)[last] = s[:len(s)+got]
		n -= int64(got)
		if err != nil {
			return err
		}
	}
	return nil
}
