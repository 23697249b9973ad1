package checker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"wisteriaspoke.example/mesh/fault"
)

// maxProblems limits the errors reported for one file, so that the answer for an invalid file of 2,000 services stays
// readable.
const maxProblems = 100

// problem is one violation of a rule at one position of the file.
type problem struct {
	offset  int64
	message string
	remedy  string
}

// problems collects all problems of one file.
type problems struct {
	data []byte
	list []problem
}

// add records that the value of n violates a rule; the message continues a sentence that begins with the path of n.
func (p *problems) add(n *node, message, remedy string) {
	name := n.path
	if name == "" {
		name = "the file"
	}
	p.list = append(p.list, problem{offset: n.offset, message: name + " " + message, remedy: remedy})
}

// err returns the recorded problems, sorted by position and joined, or nil.
func (p *problems) err() error {
	slices.SortStableFunc(p.list, func(a, b problem) int { return cmp.Compare(a.offset, b.offset) })
	var errs []error
	for i, r := range p.list {
		if i == maxProblems {
			rest := fmt.Sprintf("there are %d more errors", len(p.list)-maxProblems)
			errs = append(errs, fault.New(fault.Invalid, rest, "correct the ones above and check again"))
			break
		}
		line, column := position(p.data, r.offset)
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("line %d, column %d: %s", line, column, r.message), r.remedy))
	}
	return errors.Join(errs...)
}
