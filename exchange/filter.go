package exchange

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"trefoilline.example/trefoilline/header"
)

// reservedPrefix starts the names of this project's own headers. They are not
// forwarded to backend servers; the client sets the ones that a backend server
// gets.
const reservedPrefix = "trefoilline-"

// caseBit is the bit that differs between the upper and the lower case of an ASCII
// letter.
const caseBit = 0x20

// bearerScheme is the authorization scheme that carries the caller's API key.
const bearerScheme = "bearer"

// hopByHop lists the headers that apply to one connection only. Expect is
// included because the HTTP server that received the request has handled it.
var hopByHop = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// FilterHeader returns a copy of a caller's headers without those that must not be
// forwarded to a backend server: hop-by-hop headers, the headers of this project,
// and all values that can contain the caller's API key. The key is the one that
// the caller presented, or empty. The copy has an empty User-Agent if the caller
// sent none.
func FilterHeader(h http.Header, key string) http.Header {
	forwarded := removeHopByHop(h)
	for name, values := range forwarded {
		kept := filterValues(name, values, key)
		if len(kept) == 0 {
			delete(forwarded, name)
			continue
		}
		forwarded[name] = kept
	}
	return withUserAgent(forwarded)
}

// withUserAgent adds an empty User-Agent, which keeps net/http from sending its default one, if there is none.
func withUserAgent(h http.Header) http.Header {
	if _, isSet := h["User-Agent"]; !isSet {
		h["User-Agent"] = []string{""}
	}
	return h
}

// removeKey removes the values of headers or trailers that contain the caller's key, and from lines of cookies only the cookies that
// do. It leaves all else as it is, also trailers that have no value yet.
func removeKey(h http.Header, key string) http.Header {
	if key == "" {
		return h
	}
	for name, values := range h {
		hasKey := func(value string) bool { return strings.Contains(value, key) }
		if !slices.ContainsFunc(values, hasKey) {
			continue
		}
		if name == "Cookie" {
			values = mapPairs(values, ";", hasKey)
		}
		if h[name] = slices.DeleteFunc(slices.Clone(values), hasKey); len(h[name]) == 0 {
			delete(h, name)
		}
	}
	return h
}

// mapPairs returns the lines without the pairs for which remove returns true, and without lines of which nothing is left.
func mapPairs(lines []string, separator string, remove func(pair string) bool) []string {
	var kept []string
	for _, line := range lines {
		pairs := slices.DeleteFunc(strings.Split(line, separator), remove)
		if line = strings.TrimSpace(strings.Join(pairs, separator)); line != "" {
			kept = append(kept, line)
		}
	}
	return kept
}

// filterTrailer returns a copy of a caller's trailers, filtered as FilterHeader
// does. A trailer without values stays, because trailers are announced before their
// values are known.
func filterTrailer(trailer http.Header, key string) http.Header {
	forwarded := removeHopByHop(trailer)
	for name, values := range forwarded {
		if isReserved(name) || containsKey(name, key) {
			delete(forwarded, name)
			continue
		}
		forwarded[name] = filterValues(name, values, key)
	}
	return forwarded
}

// removeHopByHop returns a copy without the hop-by-hop headers and the headers
// that the Connection header lists.
func removeHopByHop(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	return deleteHopByHop(forwarded)
}

// deleteHopByHop deletes the same headers from h, and returns it.
func deleteHopByHop(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}

// filterValues returns the values of a header that can't contain the API key.
func filterValues(name string, values []string, key string) []string {
	if isReserved(name) || containsKey(name, key) {
		return nil
	}
	if strings.EqualFold(name, "Cookie") {
		values = filterCookies(values, key)
	}
	var kept []string
	for _, value := range values {
		if containsKey(value, key) || isBearer(name, value) {
			continue
		}
		kept = append(kept, value)
	}
	return kept
}

// isReserved reports whether a header's name starts with reservedPrefix.
// Underscores count as hyphens, because many backend servers treat them alike.
func isReserved(name string) bool {
	if len(name) < len(reservedPrefix) {
		return false
	}
	prefix := strings.ReplaceAll(name[:len(reservedPrefix)], "_", "-")
	return strings.EqualFold(prefix, reservedPrefix)
}

// isBearer reports whether the header is an Authorization header with the bearer
// scheme.
func isBearer(name, value string) bool {
	if !strings.EqualFold(name, "Authorization") {
		return false
	}
	scheme, _, _ := strings.Cut(strings.TrimSpace(value), " ")
	scheme, _, _ = strings.Cut(scheme, "\t")
	return strings.EqualFold(scheme, bearerScheme)
}

// isKeyPair reports whether a pair is the query parameter or the cookie with the API key, which share their name, or contains the
// API key.
func isKeyPair(pair, key string) bool {
	name, _, _ := strings.Cut(pair, "=")
	name = strings.TrimSpace(name)
	if decoded, err := url.QueryUnescape(name); err == nil {
		name = decoded
	}
	return name == header.APIKeyParameter || containsKey(pair, key)
}

// containsKey reports whether the text contains the API key. An empty key is
// never contained.
func containsKey(text, key string) bool {
	return key != "" && containsDecoded(text, key)
}

// containsDecoded reports whether the text contains the part, without regard to
// case and to percent encoding.
func containsDecoded(text, part string) bool {
	if containsFold(text, part) {
		return true
	}
	return strings.Contains(text, "%") && containsFold(percentDecode(text), part)
}

// containsFold is [strings.Contains] without regard to case. It allocates no
// memory if both texts are ASCII, as most are.
func containsFold(text, part string) bool {
	if part == "" || !isASCII(text) || !isASCII(part) {
		return strings.Contains(strings.ToLower(text), strings.ToLower(part))
	}
	for i := 0; i+len(part) <= len(text); i++ {
		// The upper and the lower case of a letter differ only in caseBit.
		if (text[i]^part[0])&^caseBit == 0 && strings.EqualFold(text[i:i+len(part)], part) {
			return true
		}
	}
	return false
}

func isASCII(text string) bool {
	for i := range len(text) {
		if text[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

// percentDecode decodes all valid percent escapes and leaves invalid ones as they
// are.
func percentDecode(text string) string {
	if decoded, err := url.PathUnescape(text); err == nil {
		return decoded
	}
	var result strings.Builder
	for i := 0; i < len(text); i++ {
		if i+2 < len(text) && text[i] == '%' {
			if char, err := url.PathUnescape(text[i : i+3]); err == nil {
				result.WriteString(char)
				i += 2
				continue
			}
		}
		result.WriteByte(text[i])
	}
	return result.String()
}

// FilterQuery removes the parameter in which callers may send their API key, and those that contain it, from a raw query. All others stay byte for byte.
func FilterQuery(query, key string) string {
	return removeKeyPairs(query, key, "&", ";")
}

// filterCookies removes the cookie in which callers may send their API key, those that contain it, and the header lines that
// are empty after that.
func filterCookies(lines []string, key string) []string {
	var kept []string
	for _, line := range lines {
		if line = strings.TrimSpace(removeKeyPairs(line, key, ";", ",")); line != "" {
			kept = append(kept, line)
		}
	}
	return kept
}

// removeKeyPairs splits the list at separators[0], each of these parts at
// separators[1], and so on, and removes the parts for which isKeyPair holds.
func removeKeyPairs(list, key string, separators ...string) string {
	if list == "" {
		return list
	}
	if len(separators) == 0 {
		if isKeyPair(list, key) {
			return ""
		}
		return list
	}
	var kept []string
	for _, pair := range strings.Split(list, separators[0]) {
		filtered := removeKeyPairs(pair, key, separators[1:]...)
		if isRemoved := pair != "" && filtered == ""; !isRemoved {
			kept = append(kept, filtered)
		}
	}
	return strings.Join(kept, separators[0])
}
