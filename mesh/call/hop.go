package call

// hop lists the headers that concern one connection only, by RFC 9110, and those that the sender of a message sets.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Content-Length": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// IsHopByHop reports whether the header with the canonical name concerns one connection only and is not passed on.
func IsHopByHop(name string) bool { return hop[name] }
