// Command standin is described in the README.
package main

import "net"

func main() { _ = net.IPv4len }
