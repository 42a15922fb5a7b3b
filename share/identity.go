package share

import "strconv"

// ProcessID is one process of a host. A restarted host has a new incarnation.
type ProcessID struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns host and incarnation for logs.
func (i ProcessID) String() string {
	return i.Host + "/" + strconv.FormatUint(i.Incarnation, 10)
}
