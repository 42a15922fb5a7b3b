package exchange

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"trefoilline.example/trefoilline/header"
)

// ownPrefix starts the name of every header of the system's own. The client
// sets anew those that a backend server gets.
const ownPrefix = "trefoilline-"

// caseBit is what differs between the cases of an ASCII letter.
const caseBit = 0x20

// bearerScheme is the authorization scheme that carries the caller's key.
const bearerScheme = "bearer"

// hopByHop lists the headers that concern one connection only. Expect is among
// them because the caller's server has answered it.
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

// FilterHeader returns a copy of what of a caller's headers may go to a backend
// server. The key is the one that the caller presented, or empty.
func FilterHeader(h http.Header, key string) http.Header {
	forwarded := withoutHopByHop(h)
	for name, values := range forwarded {
		kept := forwardValues(name, values, key)
		if len(kept) == 0 {
			delete(forwarded, name)
			continue
		}
		forwarded[name] = kept
	}
	if _, isSet := forwarded["User-Agent"]; !isSet {
		// An empty value keeps the transport from sending its own.
		forwarded["User-Agent"] = []string{""}
	}
	return forwarded
}

// forwardTrailer returns what of a caller's trailers may go to a backend
// server.
func forwardTrailer(trailer http.Header, key string) http.Header {
	forwarded := withoutHopByHop(trailer)
	for name, values := range forwarded {
		if isOwn(name) || holdsKey(name, key) {
			delete(forwarded, name)
			continue
		}
		forwarded[name] = forwardValues(name, values, key)
	}
	return forwarded
}

// withoutHopByHop returns a copy without the headers of one connection and
// those that the Connection header names.
func withoutHopByHop(h http.Header) http.Header {
	forwarded := h.Clone()
	if forwarded == nil {
		forwarded = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		forwarded.Del(name)
	}
	return forwarded
}

// forwardValues returns the values of a header that can't carry the key.
func forwardValues(name string, values []string, key string) []string {
	if isOwn(name) || holdsKey(name, key) {
		return nil
	}
	if strings.EqualFold(name, "Cookie") {
		values = stripCookies(values, key)
	}
	var kept []string
	for _, value := range values {
		if holdsKey(value, key) || namesKey(value) || isBearer(name, value) {
			continue
		}
		kept = append(kept, value)
	}
	return kept
}

// isOwn tells whether the name of a header is the system's own. Many backend
// servers take an underscore for a hyphen.
func isOwn(name string) bool {
	if len(name) < len(ownPrefix) {
		return false
	}
	prefix := strings.ReplaceAll(name[:len(ownPrefix)], "_", "-")
	return strings.EqualFold(prefix, ownPrefix)
}

func isBearer(name, value string) bool {
	if !strings.EqualFold(name, "Authorization") {
		return false
	}
	scheme, _, _ := strings.Cut(strings.TrimSpace(value), " ")
	scheme, _, _ = strings.Cut(scheme, "\t")
	return strings.EqualFold(scheme, bearerScheme)
}

// namesKey tells whether a value, such as a referring address, has the key's
// parameter in it, in any spelling.
func namesKey(value string) bool {
	if strings.Contains(value, "_") {
		value = strings.ReplaceAll(value, "_", "-")
	}
	return holds(value, header.APIKeyParameter)
}

// holdsKey tells whether the text has the key in it.
func holdsKey(text, key string) bool {
	return key != "" && holds(text, key)
}

// holds tells whether the text has the part in it, in any case, escaped or not.
func holds(text, part string) bool {
	if containsFold(text, part) {
		return true
	}
	return strings.Contains(text, "%") && containsFold(unescape(text), part)
}

// containsFold is [strings.Contains] in any case. Most texts are ASCII, for
// which it needs no memory.
func containsFold(text, part string) bool {
	if part == "" || !isASCII(text) || !isASCII(part) {
		return strings.Contains(strings.ToLower(text), strings.ToLower(part))
	}
	for i := 0; i+len(part) <= len(text); i++ {
		// Letters of different case differ in one bit.
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

// unescape undoes what percent escapes it can, and leaves the others.
func unescape(text string) string {
	if whole, err := url.PathUnescape(text); err == nil {
		return whole
	}
	var parts strings.Builder
	for i := 0; i < len(text); i++ {
		if i+2 < len(text) && text[i] == '%' {
			if one, err := url.PathUnescape(text[i : i+3]); err == nil {
				parts.WriteString(one)
				i += 2
				continue
			}
		}
		parts.WriteByte(text[i])
	}
	return parts.String()
}

// FilterQuery removes the parameters that can carry the key from a raw query
// and leaves all others as they stand.
func FilterQuery(query, key string) string {
	return stripPairs(query, key, "&", ";")
}

// stripCookies removes the cookies that can carry the key.
func stripCookies(lines []string, key string) []string {
	var kept []string
	for _, line := range lines {
		if line = strings.TrimSpace(stripPairs(line, key, ";", ",")); line != "" {
			kept = append(kept, line)
		}
	}
	return kept
}

// stripPairs removes pairs from a list, by the separators in turn.
func stripPairs(list, key string, separators ...string) string {
	if list == "" {
		return list
	}
	if len(separators) == 0 {
		if carriesKey(list, key) {
			return ""
		}
		return list
	}
	pairs := strings.Split(list, separators[0])
	pairs = slices.DeleteFunc(pairs, func(pair string) bool {
		return pair != "" && carriesKey(pair, key) && stripPairs(pair, key, separators[1:]...) == ""
	})
	for i, pair := range pairs {
		pairs[i] = stripPairs(pair, key, separators[1:]...)
	}
	return strings.Join(pairs, separators[0])
}

func carriesKey(pair, key string) bool {
	return namesKey(pair) || holdsKey(pair, key)
}
