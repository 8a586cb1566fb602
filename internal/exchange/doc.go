// Package exchange sends one HTTP/1.1 request to one upstream and reads its
// response.
//
// It never retries a request, and each failure says whether the upstream may have
// received any byte of it. A connection is reused only after a response that was
// complete, belonged to the request and was followed by no further bytes.
package exchange
