package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, if there is a valid one.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 && n < 1e6 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

// Headers of the Slateridge protocol.
const (
	headerAttemptID        = "X-Slateridge-Attempt-Id"
	headerBudget           = "X-Slateridge-Time-Budget-Ms"
	headerExpectedInstance = "X-Slateridge-Expected-Instance"
	headerTenant           = "X-Slateridge-Tenant-Name"
	headerSeal             = "X-Slateridge-Response-Seal"
	headerNotExecuted      = "X-Slateridge-Not-Executed"
	headerLoad             = "X-Slateridge-Instance-Load"
	headerAPIKey           = "X-Api-Key"
	headerPrefix           = "X-Slateridge-Prompt-Prefix"
)

// hopByHopHeaders are the headers that are not forwarded upstream: those that apply to a
// single connection and those that this proxy sets itself.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true,
	"Content-Length": true, headerBudget: true, headerExpectedInstance: true, headerTenant: true, headerAPIKey: true}

// connectionHeaders returns the header names listed in the Connection headers.
func connectionHeaders(h http.Header) map[string]bool {
	var names map[string]bool
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// formatRequestHeader formats the request line and headers for an upstream. The request
// target is copied from the client byte for byte, and the Slateridge headers are set.
func formatRequestHeader(r *http.Request, instance, tenant string, left time.Duration, length int64) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	connection := connectionHeaders(r.Header)
	for k, vs := range r.Header {
		if hopByHopHeaders[k] || connection[k] && k != headerAttemptID {
			continue
		}
		for _, v := range vs {
			b.WriteString(k + ": " + v + "\r\n")
		}
	}
	b.WriteString(headerBudget + ": " + strconv.FormatInt(max(0, left.Milliseconds()), 10) + "\r\n")
	b.WriteString(headerExpectedInstance + ": " + instance + "\r\n")
	if tenant != "" {
		b.WriteString(headerTenant + ": " + tenant + "\r\n")
	}
	switch {
	case length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
