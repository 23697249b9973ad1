package call

// hopByHopHeaders lists the headers that apply to one connection only (RFC 9110) and those that every sender sets.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true, "Content-Length": true,
	"Te": true, "Trailer": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// IsHopByHop reports whether the header with the canonical name applies to one connection only and is not passed on.
func IsHopByHop(name string) bool { return hopByHopHeaders[name] }
