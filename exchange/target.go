package exchange

import (
	"net/http"
	"net/url"
	"strings"
)

// The schemes of attempts, and what [url.URL.RequestURI] puts before a target that starts with two slashes.
const (
	attemptScheme  = "http"
	doubleSlash    = "//"
	addedToTargets = attemptScheme + ":"
)

// Target returns the target of a caller's request byte for byte as it came, without the scheme and the host of one in absolute form.
// It is empty if the request has none that starts with a slash.
func Target(r *http.Request) string {
	target := r.RequestURI
	if _, rest, isAbsolute := strings.Cut(target, "://"); isAbsolute && r.URL.Host != "" {
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			return ""
		}
		target = rest[slash:]
	}
	if !strings.HasPrefix(target, "/") {
		return ""
	}
	return target
}

// TargetPath returns the path of a caller's request as it came.
func TargetPath(r *http.Request) string {
	path, _, _ := strings.Cut(Target(r), "?")
	if path == "" {
		return r.URL.EscapedPath()
	}
	return path
}

// attemptURL returns the URL of an attempt. Its target is written as it is; url.URL would encode some characters of a path that callers may
// send as they are, and drop an empty query.
func (a *attempt) attemptURL() *url.URL {
	r := a.request
	attempt := &url.URL{
		Scheme: attemptScheme,
		Host:   a.server.String(),
	}
	if r.Target == "" {
		attempt.Path, attempt.RawPath, attempt.RawQuery, attempt.ForceQuery = r.URL.Path, r.URL.RawPath, r.URL.RawQuery, r.URL.ForceQuery
		return attempt
	}
	attempt.Opaque = r.Target
	if strings.HasPrefix(r.Target, doubleSlash) {
		a.guard.cut = requestLineCut{
			after: len(r.Method) + len(" "),
			count: len(addedToTargets),
		}
	}
	return attempt
}

// filterTarget removes the caller's key from the query of a target.
func filterTarget(target, key string) string {
	path, query, hasQuery := strings.Cut(target, "?")
	filtered := FilterQuery(query, key)
	if !hasQuery || query != "" && filtered == "" {
		return path
	}
	return path + "?" + filtered
}

// requestLineCut is a number of bytes of a request line that are not sent, after those before them.
type requestLineCut struct {
	after, count int
}

// apply returns the first bytes of a request without those that are cut.
func (c requestLineCut) apply(p []byte) []byte {
	if c.count == 0 || len(p) < c.after+c.count {
		return p
	}
	return append(p[:c.after:c.after], p[c.after+c.count:]...)
}
