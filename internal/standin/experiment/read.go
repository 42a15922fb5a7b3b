package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// ReadPlan reads a plan, puts the keys from the environment in place and checks
// it. It returns a [FileError] or a [InvalidPlanError] with all faults at once.
func ReadPlan(path string, lookUp func(string) (string, bool)) (*Plan, error) {
	var plan Plan
	if err := readJSON(path, &plan); err != nil {
		return nil, err
	}
	if err := plan.ResolveAndValidate(lookUp); err != nil {
		return nil, err
	}
	return &plan, nil
}

// Resolve replaces each "${NAME}" in a key by the variable of that name, and
// checks the plan. Its [InvalidPlanError] names variables, never keys.
func (p *Plan) ResolveAndValidate(lookUp func(string) (string, bool)) error {
	var c checker
	for i := range p.Teams {
		field := fmt.Sprintf("teams[%d].key", i)
		p.Teams[i].Key = os.Expand(p.Teams[i].Key, func(name string) string {
			value, _ := lookUp(name)
			c.expect(value != "", field, "${"+name+"}", "a variable that is set in the environment")
			return value
		})
	}
	var wrong *InvalidPlanError
	if errors.As(p.Validate(), &wrong) {
		c.faults = append(c.faults, wrong.Problems...)
	}
	if len(c.faults) == 0 {
		return nil
	}
	return &InvalidPlanError{
		Problems: c.faults,
	}
}

// ReadReport reads a report that a run wrote as JSON. It returns a [FileError].
func ReadReport(path string) (*Report, error) {
	var report Report
	if err := readJSON(path, &report); err != nil {
		return nil, err
	}
	return &report, nil
}

func readJSON(path string, into any) error {
	file, err := os.Open(path)
	if err != nil {
		return fileError(path, err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return fileError(path, decoder.Decode(into))
}

func fileError(path string, err error) error {
	if err == nil {
		return nil
	}
	return &FileError{
		Path:  path,
		Cause: err,
	}
}
