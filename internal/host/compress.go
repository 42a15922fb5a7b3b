package host

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// minCompressedBytes is the size of the smallest body that is worth compressing.
const minCompressedBytes = 1 << 10

// gzipEncoding is the content encoding of compressed bodies between hosts.
const gzipEncoding = "gzip"

// compress returns a body in compressed form, or false if it is too small for that.
func compress(body []byte) ([]byte, bool) {
	if len(body) < minCompressedBytes {
		return body, false
	}
	var compressed bytes.Buffer
	// Neither call fails: the level is valid, and a buffer takes all that is written.
	writer, _ := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	_, _ = writer.Write(body)
	_ = writer.Close()
	return compressed.Bytes(), true
}

// writeJSON responds with a value, compressed if the other host accepts that.
func writeJSON(w http.ResponseWriter, r *http.Request, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	body = append(body, '\n')
	w.Header().Set("Content-Type", "application/json")
	if strings.Contains(r.Header.Get("Accept-Encoding"), gzipEncoding) {
		if compressed, isSmaller := compress(body); isSmaller {
			w.Header().Set("Content-Encoding", gzipEncoding)
			body = compressed
		}
	}
	_, err = w.Write(body)
	return err
}

// readJSON decodes a body of another host, which may be compressed. Neither the body nor what
// it decompresses to is read beyond the limit, in bytes.
func readJSON(body io.Reader, contentEncoding string, limit int64, value any) error {
	body = io.LimitReader(body, limit)
	if contentEncoding == gzipEncoding {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return err
		}
		body = io.LimitReader(decompressed, limit)
	}
	return json.NewDecoder(body).Decode(value)
}
