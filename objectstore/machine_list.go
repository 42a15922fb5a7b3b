package objectstore

import (
	"encoding/json"
	"fmt"

	"trefoilline.example/trefoilline/internal/jsonparts"
)

// InvalidMachinesError reports entries of the list of machines that can't be decoded. The other
// entries hold.
type InvalidMachinesError struct {
	// Count is the number of these entries, and Cause the error of the first.
	Count int
	Cause error
}

func (e *InvalidMachinesError) Error() string {
	return fmt.Sprintf("%d entries of the list of machines can't be decoded: %v", e.Count, e.Cause)
}

func (e *InvalidMachinesError) Unwrap() error { return e.Cause }

// decodeMachines decodes a [MachineList], each entry on its own.
func decodeMachines(content []byte) ([]Machine, error) {
	members, err := jsonparts.Object(content)
	var entries []json.RawMessage
	if err == nil {
		entries, err = jsonparts.Array(members["machines"])
	}
	if err != nil {
		return nil, &UnavailableError{
			Cause: err,
		}
	}
	var machines []Machine
	invalid := &InvalidMachinesError{}
	for _, entry := range entries {
		var m Machine
		if err := json.Unmarshal(entry, &m); err != nil {
			if invalid.Count == 0 {
				invalid.Cause = err
			}
			invalid.Count++
			continue
		}
		machines = append(machines, m)
	}
	if invalid.Count > 0 {
		return machines, invalid
	}
	return machines, nil
}
