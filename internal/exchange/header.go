package exchange

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110,
// section 7.6.1) and those that this package writes itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// HopByHop reports whether a header, given in canonical form, is not forwarded.
func HopByHop(name string) bool { return hopByHopHeaders[name] }
