package checker

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"wisteriaspoke.example/mesh/fault"
)

// problemLimit bounds the errors of one check, so that a wrong file of 2,000 services has a readable answer.
const problemLimit = 100

// problem is one broken rule at one place of the file.
type problem struct {
	offset int64
	what   string
	remedy string
}

// problems collects every broken rule of one file.
type problems struct {
	data []byte
	list []problem
}

// add records that the value at n breaks a rule.
func (p *problems) add(n *node, what, remedy string) {
	name := n.path
	if name == "" {
		name = "the file"
	}
	p.list = append(p.list, problem{offset: n.offset, what: name + " " + what, remedy: remedy})
}

// err returns the recorded problems in the order of the file, or nil.
func (p *problems) err() error {
	slices.SortStableFunc(p.list, func(a, b problem) int { return cmp.Compare(a.offset, b.offset) })
	var errs []error
	for i, r := range p.list {
		if i == problemLimit {
			more := fmt.Sprintf("there are %d more errors", len(p.list)-problemLimit)
			errs = append(errs, fault.New(fault.Invalid, more, "correct the ones above and check again"))
			break
		}
		line, column := place(p.data, r.offset)
		errs = append(errs, fault.New(fault.Invalid, fmt.Sprintf("line %d, column %d: %s", line, column, r.what), r.remedy))
	}
	return errors.Join(errs...)
}
