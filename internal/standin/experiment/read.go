package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// ReadPlan reads a plan, expands the variables in its keys and validates it. It
// returns a [FileError], or an [InvalidPlanError] with all problems.
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

// ResolveAndValidate replaces each "${NAME}" in a key by the value that lookUp
// returns for NAME, and validates the plan. It returns an [InvalidPlanError] with
// all problems, which contains names of variables but no keys.
func (p *Plan) ResolveAndValidate(lookUp func(string) (string, bool)) error {
	var v validator
	for i := range p.Teams {
		field := fmt.Sprintf("teams[%d].key", i)
		p.Teams[i].Key = os.Expand(p.Teams[i].Key, func(name string) string {
			value, _ := lookUp(name)
			v.require(value != "", field, "${"+name+"}", "a variable that is set in the environment")
			return value
		})
	}
	var invalid *InvalidPlanError
	if errors.As(p.Validate(), &invalid) {
		v.problems = append(v.problems, invalid.Problems...)
	}
	if len(v.problems) == 0 {
		return nil
	}
	return &InvalidPlanError{
		Problems: v.problems,
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

func readJSON(path string, target any) error {
	file, err := os.Open(path)
	if err != nil {
		return fileError(path, err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	return fileError(path, decoder.Decode(target))
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
